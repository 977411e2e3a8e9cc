package loadshare

import (
	"context"
	"sync"
	"time"

	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/wait"
)

// A node that starts while it cannot reach the store knows no other node and no configuration, and refuses its callers. The
// hub still has the node's entry from before the start and introduces itself at the address in it.
const (
	// introduceInterval is how often the hub looks for nodes that do not report, and introduceTimeout bounds one call.
	introduceInterval, introduceTimeout = 250 * time.Millisecond, 200 * time.Millisecond
	// introduceAfter is the time without a report after which a node is called: that of an exchange that times out.
	introduceAfter = 450 * time.Millisecond
	// introduceOftenFor is how long a node that does not report is called every introduceInterval, and
	// introduceRareInterval the time between calls afterwards. reintroduceAfter is the time until the next call after one
	// that was answered.
	introduceOftenFor, introduceRareInterval = 30 * time.Second, 5 * time.Second
	reintroduceAfter                         = time.Second
	// answerLifetime is how long a node that answered a call does not count as unresponsive: two calls may fail or be late
	// under load.
	answerLifetime = 2500 * time.Millisecond
	// removeAfter is how long a node is unresponsive before its entry is removed: longer than a node pauses or takes to
	// restart. As long as the entry exists, callers get the lost node's address whenever the hub changes or does not answer.
	removeAfter = 4 * time.Second
	// removeInterval is the pause between attempts to remove an entry, and removeTimeout bounds one attempt.
	removeInterval, removeTimeout = 2 * time.Second, time.Second
)

// Introduction is sent by the hub to a node that does not report. Member is the hub's own entry.
type Introduction struct{ Member fleet.Member }

// RunIntroductions introduces this node, while it is the hub, to nodes that do not report. It runs until ctx ends.
func (e *Exchange) RunIntroductions(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, introduceInterval)
		var calls sync.WaitGroup
		for _, name := range e.hub.nodesToIntroduce(time.Now()) {
			calls.Go(func() { e.introduce(ctx, name) })
		}
		calls.Wait()
	}
	return ctx.Err()
}

// RunRemovals removes the entries of lost nodes, and challenges nodes that may be lost, while this node is the hub. It runs until ctx ends. It is separate from
// RunIntroductions because it waits for the store, which may not answer, and nodes that are not called in time count as
// unresponsive.
func (e *Exchange) RunRemovals(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, introduceInterval)
		changeEntries(ctx, e.hub.nodesToRemove(time.Now()), e.options.Fleet.Remove)
		changeEntries(ctx, e.hub.nodesToChallenge(time.Now()), e.options.Fleet.Challenge)
	}
	return ctx.Err()
}

// changeEntries changes the entries of nodes one after the other, each for removeTimeout at most.
func changeEntries(ctx context.Context, names []string, change func(context.Context, string)) {
	for _, name := range names {
		call, cancel := context.WithTimeout(ctx, removeTimeout)
		change(call, name)
		cancel()
	}
}

// nodesToRemove returns the nodes that have been unresponsive for so long that their entries must be removed now. It
// returns none unless this node is a hub.
func (h *hub) nodesToRemove(now time.Time) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastReportAt) > hubIdle || now.Sub(h.activeSince) < removeAfter {
		return nil
	}
	for _, name := range h.unresponsive {
		if n := h.nodes[name]; n != nil && now.Sub(n.receivedAt) < removeAfter || now.Before(h.nextRemoval[name]) {
			continue
		}
		h.nextRemoval[name] = now.Add(removeInterval)
		names = append(names, name)
	}
	return names
}

// nodesToChallenge returns the nodes whose entries must be marked now, once. It returns none unless this node is a hub.
func (h *hub) nodesToChallenge(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.toChallenge
	h.toChallenge = nil
	if now.Sub(h.lastReportAt) > hubIdle {
		return nil
	}
	return names
}

// introduce sends this node's own entry to a node that does not report.
func (e *Exchange) introduce(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	err := e.options.Peers.Call(ctx, name, "Load.Introduce", Introduction{Member: e.options.Fleet.Self()}, &struct{}{})
	if err != nil {
		return // The node is probably down, and its being unresponsive has been logged already.
	}
	e.options.Log.Routine("hub introduced itself", "member", name)
	e.hub.recordIntroduction(name, time.Now())
}

// recordIntroduction records that a node answered the call. The node is alive and may report to another hub. If it counted
// as unresponsive, the nodes that report here would continue to pass over that hub, and the fleet would stay divided.
func (h *hub) recordIntroduction(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextIntroduction[name] = now.Add(reintroduceAfter)
	h.answeredAt[name] = now
}

// nodesToIntroduce returns the registered nodes that do not report and must be called now. It returns none unless this node
// is a hub.
func (h *hub) nodesToIntroduce(now time.Time) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.lastReportAt) > hubIdle || now.Sub(h.activeSince) < introduceAfter {
		return nil
	}
	self := h.options.Fleet.Self().Name
	for _, m := range h.options.Fleet.Known() {
		sinceHeard := now.Sub(h.lastHeard(m.Name))
		if m.Name == self || sinceHeard < introduceAfter || now.Before(h.nextIntroduction[m.Name]) {
			continue
		}
		if sinceHeard > introduceOftenFor {
			h.nextIntroduction[m.Name] = now.Add(introduceRareInterval)
		}
		names = append(names, m.Name)
	}
	return names
}

// Introduce handles a call by which a hub introduces itself to this node.
func (r *Receiver) Introduce(args Introduction, _ *struct{}) error {
	r.hub.options.Fleet.Heard(args.Member.Name)
	r.hub.options.HubIntroduced(args.Member)
	return nil
}
