package loadshare

import (
	"context"
	"sync"
	"time"

	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/wait"
)

// A node that starts while the store does not serve it knows no other node and no configuration, and refuses its callers. The
// hub knows where it was and makes itself known there.
const (
	// introduceEvery is the time between two looks for nodes that do not report, and introduceTimeout bounds one call.
	introduceEvery, introduceTimeout = 250 * time.Millisecond, 200 * time.Millisecond
	// introduceAfter is how long a node may not report before it is called: an exchange with its timeout.
	introduceAfter = 450 * time.Millisecond
	// introduceFor is how long a node that does not report is called that often, and introduceRarely the time between
	// calls afterwards. introduceAgain is the time after a call that was answered; the node counts as heard meanwhile.
	introduceFor, introduceRarely = 30 * time.Second, 5 * time.Second
	introduceAgain                = time.Second
	// answeredKept is how long an answer counts: two calls may fail or be late under load.
	answeredKept = 2500 * time.Millisecond
	// removeAfter is how long a node is silent before its entry is removed: longer than nodes stand still or restart. An entry
	// that stays names a lost node to callers whenever the hub changes or is not heard.
	removeAfter = 4 * time.Second
	// removeAgain is the pause after an attempt, and removeTimeout bounds one.
	removeAgain, removeTimeout = 2 * time.Second, time.Second
)

// Introduction is the hub's own entry.
type Introduction struct{ Member fleet.Member }

// Introductions calls nodes that do not report until ctx ends, while this node is the hub.
func (e *Exchange) Introductions(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, introduceEvery)
		var calls sync.WaitGroup
		for _, name := range e.hub.unheard(time.Now()) {
			calls.Go(func() { e.introduce(ctx, name) })
		}
		calls.Wait()
	}
	return ctx.Err()
}

// Removals removes the entries of lost nodes until ctx ends, while this node is the hub. It waits for the store, which may not
// answer, and so runs beside the introductions: nodes that are not called in time count as silent.
func (e *Exchange) Removals(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, introduceEvery)
		for _, name := range e.hub.lost(time.Now()) {
			remove, cancel := context.WithTimeout(ctx, removeTimeout)
			e.o.Fleet.Remove(remove, name)
			cancel()
		}
	}
	return ctx.Err()
}

// lost returns the nodes that are silent for so long that their entries are to be removed now, while this node is a hub.
func (h *hub) lost(now time.Time) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.last) > hubIdle || now.Sub(h.since) < removeAfter {
		return nil
	}
	for _, name := range h.silent {
		if n := h.nodes[name]; n != nil && now.Sub(n.at) < removeAfter || now.Before(h.removeAgain[name]) {
			continue
		}
		h.removeAgain[name] = now.Add(removeAgain)
		names = append(names, name)
	}
	return names
}

func (e *Exchange) introduce(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	err := e.o.Peers.Call(ctx, name, "Load.Introduce", Introduction{Member: e.o.Fleet.Self()}, &struct{}{})
	if err != nil {
		return // A node that is down answers nothing; that it is silent is logged already.
	}
	e.o.Log.Routine("hub made itself known", "member", name)
	e.hub.introduced(name, time.Now())
}

// introduced records that a node answered the call. It lives, and reports to another hub: if it counted as silent, the nodes that
// report here would go on to pass that hub over, and the fleet would stay divided.
func (h *hub) introduced(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callAgain[name] = now.Add(introduceAgain)
	h.answered[name] = now
}

// unheard returns the registered nodes that do not report and are to be called now, while this node is a hub.
func (h *hub) unheard(now time.Time) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.last) > hubIdle || now.Sub(h.since) < introduceAfter {
		return nil
	}
	self := h.o.Fleet.Self().Name
	for _, m := range h.o.Fleet.Known() {
		heard := h.since
		if n := h.nodes[m.Name]; n != nil {
			heard = n.at
		}
		silent := now.Sub(heard)
		if m.Name == self || silent < introduceAfter || now.Before(h.callAgain[m.Name]) {
			continue
		}
		if silent > introduceFor {
			h.callAgain[m.Name] = now.Add(introduceRarely)
		}
		names = append(names, m.Name)
	}
	return names
}

// Introduce takes the hub that calls.
func (r *Receiver) Introduce(args Introduction, _ *struct{}) error {
	r.hub.o.Introduced(args.Member)
	return nil
}
