package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"trefoilplank.example/pkg/controller/drain"
	decision "trefoilplank.example/pkg/decision/drain"
)

const (
	// leaveTimeout limits leaving the fleet, and exitTime is what remains for the time from the signal to the begin of the drain and for the
	// end of the process.
	leaveTimeout, exitTime = 210 * time.Millisecond, 100 * time.Millisecond
	// drainMargin is the part of the time to stop that is reserved for the last answers, closing connections and leaving the fleet.
	drainMargin = drain.StopTime + leaveTimeout + exitTime
	// drainPoll is the time between two checks of what is in progress.
	drainPoll = 50 * time.Millisecond
)

// ttlOverrun is the multiple of the TTL for which some callers cache an address answer.
const ttlOverrun = 3

// drainTimes returns how long a drain that begins now may take, and until when callers may use the node's address. A change of the settings
// does not change a drain that has begun: the requests that it has accepted keep their time.
func (n *Node) drainTimes(now time.Time) (limit time.Duration, addressesEnd time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(0, seconds(n.settings.DrainSeconds)-drainMargin), n.addressesEnd(now)
}

// addressesEnd returns until when callers may use answers that they have got by now. The caller holds n.mu.
func (n *Node) addressesEnd(now time.Time) time.Time {
	end := now.Add(ttlOverrun * seconds(n.settings.AddressTTL))
	if end.Before(n.oldAddressesEnd) {
		return n.oldAddressesEnd
	}
	return end
}

// addressTTL returns how long callers may cache an address answer, which may change while the node runs.
func (n *Node) addressTTL() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return seconds(n.settings.AddressTTL)
}

// drainPlan returns the schedule of the drain, or the zero plan while the node does not drain.
func (n *Node) drainPlan() decision.Plan {
	if p := n.plan.Load(); p != nil {
		return *p
	}
	return decision.Plan{}
}

// admitCall reports whether the node accepts a call on jobs whose caller waits until deadline.
func (n *Node) admitCall(deadline time.Time) bool {
	return n.drainPlan().Admit(time.Now(), deadline, 0) != decision.Refused
}

// refuseStopping refuses a request that came after the last one that the node accepts.
func (n *Node) refuseStopping(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Connection"] = []string{"close"}
	n.forwarder.RefuseDraining(w)
}

// stopServing takes the node out of service, once: it removes the node from address answers, hands over its jobs and waits until nothing
// is in progress or the time to stop is over. Callers that still have its address are served meanwhile, on connections that close
// after the response. Both a stop signal and the retirement of the VM end the service this way; each waits until it has ended. If
// awaitOthers is set, a node that serves no callers waits as long as callers are waited for, so that other nodes learn that it drains.
func (n *Node) stopServing(ctx context.Context, awaitOthers bool) {
	n.stopOnce.Do(func() {
		defer close(n.stopped)
		n.runDrain(ctx, awaitOthers || n.settings.CallerAddress != "")
	})
	<-n.stopped
}

func (n *Node) runDrain(ctx context.Context, awaitOthers bool) {
	begun := time.Now()
	limit, addressesEnd := n.drainTimes(begun)
	plan := decision.NewPlan(begun, limit, addressesEnd)
	n.plan.Store(&plan)
	n.draining.Store(true)
	n.log.Notice("node draining", "limit_ms", limit.Milliseconds(), "active", n.servers.Gate.Active())
	go n.handOver(ctx, limit)
	quiet := begun
	if awaitOthers {
		quiet = plan.Quiet
	}
	end, reason := plan.End, n.awaitQuiet(ctx, quiet, plan.End)
	if ctx.Err() != nil {
		end = time.Now()
	}
	n.log.Notice("drain stops waiting", "reason", reason, "ms", time.Since(begun).Milliseconds(), "active", n.servers.Gate.Active(), "relayed", n.links.RelayedForOthers())
	_ = n.servers.Refuse() // An error means that the listener is closed.
	ended := n.servers.Stop(end, n.links.RelayedForOthers)
	n.log.Notice("node drained", "ms", time.Since(begun).Milliseconds(), "ended", ended, "active", n.servers.Gate.Active())
}

// handOver registers the drain and hands the jobs over, at the same time: other nodes may reach the store while this one does not. It ends
// when the jobs are handed over or ctx ends, which may be after the drain.
func (n *Node) handOver(ctx context.Context, limit time.Duration) {
	defer close(n.handedOver)
	var registration sync.WaitGroup
	registration.Go(func() {
		call, cancel := context.WithTimeout(ctx, limit/2)
		defer cancel()
		if err := n.fleet.Drain(call); err != nil {
			n.log.Notice("drain could not be registered in the store", "error", err)
		}
	})
	n.jobs.HandOver(ctx)
	registration.Wait()
}

// awaitQuiet returns when, from quiet on, nothing is in progress and the jobs are handed over, at end, or when a part of the node has failed, and
// says which.
func (n *Node) awaitQuiet(ctx context.Context, quiet, end time.Time) (reason string) {
	over := time.After(time.Until(end))
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return "time is over"
		case <-ctx.Done():
			return "a part of the node has failed"
		case now := <-tick.C:
			if !now.Before(quiet) && isClosed(n.handedOver) && n.servers.Gate.Active() == 0 && n.links.RelayedForOthers() == 0 {
				return "no request in progress"
			}
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// shutDown stops the service and leaves the fleet. If the service has stopped before, since the VM is to be retired, it gives the hand-over of
// the jobs the time that is left.
func (n *Node) shutDown(ctx context.Context) {
	begun := time.Now()
	limit, _ := n.drainTimes(begun)
	end, stop := context.WithTimeout(ctx, limit)
	defer stop()
	n.stopServing(ctx, true)
	select {
	case <-n.handedOver:
	case <-end.Done():
	}
	leave, cancel := context.WithTimeout(ctx, min(leaveTimeout, time.Until(begun.Add(limit+drainMargin-exitTime))))
	defer cancel()
	if err := n.fleet.Leave(leave); err != nil {
		n.log.Notice("node could not be removed from the store", "error", err)
	}
}
