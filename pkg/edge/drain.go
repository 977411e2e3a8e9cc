package edge

import (
	"context"
	"time"
)

const (
	// drainMargin is the part of the drain time that is reserved for closing connections and leaving the fleet.
	drainMargin = 800 * time.Millisecond
	// leaveTimeout limits closing the connections and leaving the fleet.
	leaveTimeout = 500 * time.Millisecond
)

// ttlOverrun is the multiple of the TTL for which some callers cache an address answer.
const ttlOverrun = 3

// lateCallerTime returns how long a draining node must expect new callers, which have cached an answer with its
// address. It is at most half of the drain, to leave time for their requests.
func lateCallerTime(ttl, limit time.Duration) time.Duration {
	return min(ttlOverrun*ttl+drainMargin, limit/2)
}

// drainEndTime returns when the drain closes what is still open, or zero while the node does not drain.
func (n *Node) drainEndTime() time.Time {
	if end := n.drainEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// drain removes the node from address answers, hands over its jobs and waits for requests in progress. Callers that
// still have its address are served meanwhile, on connections that close after the response.
func (n *Node) drain(ctx context.Context) {
	begun := time.Now()
	limit, ttl := n.reloadableSettings()
	limit -= drainMargin
	drainEnd := begun.Add(limit)
	n.drainEnd.Store(&drainEnd)
	n.draining.Store(true)
	n.log.Notice("node draining", "limit_ms", limit.Milliseconds(), "active", n.active.Load())
	call, cancel := context.WithTimeout(ctx, limit/2)
	go func() {
		defer cancel()
		if err := n.fleet.Drain(call); err != nil {
			n.log.Notice("drain could not be registered in the store", "error", err)
		}
		n.jobs.HandOver(call)
	}()
	lateCallers := lateCallerTime(ttl, limit)
	ended := time.After(limit)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	reason := "time is over"
draining:
	for {
		select {
		case <-ended:
			break draining
		case <-tick.C:
			if time.Since(begun) > lateCallers && n.active.Load() == 0 && n.links.RelayedForOthers() == 0 && call.Err() != nil {
				reason = "no request in progress"
				break draining
			}
		}
	}
	n.log.Notice("drain stops waiting", "reason", reason, "ms", time.Since(begun).Milliseconds(), "active", n.active.Load(), "relayed", n.links.RelayedForOthers())
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(leave) // Requests that have not ended in time are closed with the node.
	}
	if err := n.fleet.Leave(leave); err != nil {
		n.log.Notice("node could not be removed from the store", "error", err)
	}
	n.log.Notice("node drained", "ms", time.Since(begun).Milliseconds(), "active", n.active.Load())
}
