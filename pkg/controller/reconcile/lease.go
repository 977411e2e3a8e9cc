package reconcile

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
)

// leaseRecord is the object orders/UPSTREAM: who may send orders to the upstream, and with which token.
type leaseRecord struct {
	Holder string `json:"holder"`
	// Token is the fencing token of the holder; it grows at each change of holder.
	Token int64 `json:"token"`
	// Renewal makes each write of a holder distinct, so that a lost answer can be told by reading back.
	Renewal  int64 `json:"renewal"`
	Released bool  `json:"released"`
	// Duration is how long the holder may act after it began a write of this record.
	Duration time.Duration `json:"duration"`
	// Adapters are the adapter versions last ordered, since engines do not report them.
	Adapters map[string]string `json:"adapters,omitempty"`
}

// heldLease is a lease that this process holds.
type heldLease struct {
	record   leaseRecord
	revision int64
	// deadline is the monotonic time before which orders may be sent.
	deadline time.Time
}

// foreign is another holder's lease as first seen at since with this revision.
type foreign struct {
	revision int64
	since    time.Time
}

// waitError means that the lease of another holder has not run out yet.
type waitError struct {
	holder string
	until  time.Time
}

// Error names the holder and the time of the next try.
func (e *waitError) Error() string {
	return fmt.Sprintf("waiting until %s for the order lease of %s to run out", e.until.UTC().Format(time.TimeOnly), e.holder)
}

// errLost means that another node has taken the lease over.
var errLost = Error.New("the order lease was taken over")

// leases acquires, renews and releases order leases. It is used by one goroutine.
type leases struct {
	node     string
	store    store.Store
	now      func() time.Time
	duration time.Duration
	// takeOverWait is the time after which a silent holder's orders can no longer arrive.
	takeOverWait time.Duration
	held         map[string]*heldLease
	foreign      map[string]foreign
	// adapters are the adapter versions last ordered, by upstream, as far as records were read.
	adapters map[string]map[string]string
}

// newLeases returns a holder of no lease. Clocks may differ in rate by clockRateBound (a part of the duration),
// and a sent order may be on its way for inFlight.
func newLeases(node string, s store.Store, now func() time.Time, duration time.Duration, clockRateBound float64, inFlight time.Duration) *leases {
	return &leases{
		node: node, store: s, now: now, duration: duration,
		takeOverWait: duration + time.Duration(float64(duration)*clockRateBound) + inFlight,
		held:         map[string]*heldLease{}, foreign: map[string]foreign{},
		adapters: map[string]map[string]string{},
	}
}

func leaseKey(upstream string) string { return "orders/" + upstream }

// acquire makes sure that this process holds the lease of u for at least half its duration. fresh is true when
// the lease was not held before; the state of u must then be read again before any order. floor is the largest
// token that the engine reports.
func (l *leases) acquire(ctx context.Context, u api.Upstream, floor int64) (fresh bool, err error) {
	if h := l.held[u.Name]; h != nil {
		if h.deadline.Sub(l.now()) > l.duration/2 {
			return false, nil
		}
		r := h.record
		r.Renewal++
		return false, l.write(ctx, u.Name, r, h.revision)
	}
	o, err := l.store.Get(ctx, leaseKey(u.Name))
	if errors.Is(err, store.ErrNotFound) {
		r := leaseRecord{Holder: l.node, Token: floor + 1, Duration: l.duration}
		return true, l.write(ctx, u.Name, r, store.CreateOnly)
	}
	if err != nil {
		return false, err
	}
	var r leaseRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return false, Error.Wrap(err)
	}
	if wait := l.mustWait(u, r, o.Revision); wait != nil {
		return false, wait
	}
	delete(l.foreign, u.Name)
	next := leaseRecord{Holder: l.node, Token: max(r.Token, floor) + 1, Duration: l.duration, Adapters: r.Adapters}
	return true, l.write(ctx, u.Name, next, o.Revision)
}

// mustWait decides whether the record of another holder may be replaced now. An engine that enforces fencing
// refuses the old holder's orders once it has seen the new token. Otherwise the record must have stayed the same
// for so long, by this node's own clock, that no order of the old holder can still arrive.
func (l *leases) mustWait(u api.Upstream, r leaseRecord, revision int64) error {
	if r.Released || u.Fencing == api.FencingEnforced {
		return nil
	}
	f, seen := l.foreign[u.Name]
	if !seen || f.revision != revision {
		f = foreign{revision, l.now()}
		l.foreign[u.Name] = f
	}
	// The holder's duration may be longer than ours when nodes run with different settings.
	wait := max(l.takeOverWait, l.takeOverWait-l.duration+r.Duration)
	if until := f.since.Add(wait); l.now().Before(until) {
		return &waitError{r.Holder, until}
	}
	return nil
}

// write makes r durable on the condition that the object is still at the expected revision.
func (l *leases) write(ctx context.Context, upstream string, r leaseRecord, expect int64) error {
	began := l.now()
	value, err := json.Marshal(r)
	if err != nil {
		return Error.Wrap(err)
	}
	revision, err := l.store.Put(ctx, leaseKey(upstream), value, expect)
	if errors.Is(err, store.ErrUnknown) {
		revision, err = l.readBack(ctx, upstream, r)
	}
	if errors.Is(err, store.ErrConflict) {
		delete(l.held, upstream)
		return errLost
	}
	if err != nil {
		return err
	}
	l.adapters[upstream] = r.Adapters
	if r.Released {
		delete(l.held, upstream)
		return nil
	}
	l.held[upstream] = &heldLease{record: r, revision: revision, deadline: began.Add(r.Duration)}
	return nil
}

// readBack finds out whether a write whose answer was lost took effect.
func (l *leases) readBack(ctx context.Context, upstream string, wrote leaseRecord) (int64, error) {
	o, err := l.store.Get(ctx, leaseKey(upstream))
	if err != nil {
		return 0, err
	}
	var r leaseRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, Error.Wrap(err)
	}
	if r.Holder == wrote.Holder && r.Token == wrote.Token && r.Renewal == wrote.Renewal && r.Released == wrote.Released {
		return o.Revision, nil
	}
	return 0, store.ErrConflict
}

// deadline returns the time before which orders to the upstream may be sent; zero when the lease is not held.
func (l *leases) deadline(upstream string) time.Time {
	if h := l.held[upstream]; h != nil {
		return h.deadline
	}
	return time.Time{}
}

// setAdapter records the adapter version that is about to be ordered; version "" forgets it.
func (l *leases) setAdapter(ctx context.Context, upstream, adapter, version string) error {
	h := l.held[upstream]
	if h == nil {
		return errLost
	}
	if h.record.Adapters[adapter] == version {
		return nil
	}
	r := h.record
	r.Renewal++
	r.Adapters = maps.Clone(r.Adapters)
	if r.Adapters == nil {
		r.Adapters = map[string]string{}
	}
	if r.Adapters[adapter] = version; version == "" {
		delete(r.Adapters, adapter)
	}
	return l.write(ctx, upstream, r, h.revision)
}

// release gives the lease up, so that a successor need not wait. No order may be on its way.
func (l *leases) release(ctx context.Context, upstream string) error {
	h := l.held[upstream]
	if h == nil {
		return nil
	}
	r := h.record
	r.Renewal, r.Released = r.Renewal+1, true
	return l.write(ctx, upstream, r, h.revision)
}

// listLimit is the number of records read by one store call.
const listLimit = 500

// readAdapters reads the adapter versions last ordered on all upstreams.
func (l *leases) readAdapters(ctx context.Context) error {
	for after := ""; ; {
		page, err := l.store.List(ctx, leaseKey(""), after, listLimit)
		if err != nil {
			return err
		}
		for _, o := range page.Objects {
			var r leaseRecord
			if err := json.Unmarshal(o.Value, &r); err != nil {
				return Error.Wrap(err)
			}
			l.adapters[o.Key[len(leaseKey("")):]] = r.Adapters
		}
		if after = page.Next; after == "" {
			return nil
		}
	}
}

// drop forgets a lease without a write, after the engine refused its token.
func (l *leases) drop(upstream string) { delete(l.held, upstream) }
