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

// leaseRecord is the object orders/UPSTREAM, the order lease of an upstream: which node may send it orders, and with
// which token.
type leaseRecord struct {
	Holder string `json:"holder"`
	// Token is the fencing token of the holder; it grows at each change of holder.
	Token int64 `json:"token"`
	// Renewal makes each write of a holder distinct, so that reading the object back shows whether a write whose answer
	// was lost took effect.
	Renewal  int64 `json:"renewal"`
	Released bool  `json:"released"`
	// Duration is how long the holder may send orders after it began a write of this record.
	Duration time.Duration `json:"duration"`
	// Adapters holds the version last ordered of each adapter, since engines do not report it.
	Adapters map[string]string `json:"adapters,omitempty"`
}

// heldLease is an order lease that this process holds.
type heldLease struct {
	record   leaseRecord
	revision int64
	// deadline is the monotonic time before which orders may be sent.
	deadline time.Time
}

// foreignLease is the order lease of another holder at a revision that was first seen at since.
type foreignLease struct {
	revision int64
	since    time.Time
}

// leaseWaitError means that the order lease of another holder has not expired yet.
type leaseWaitError struct {
	holder string
	until  time.Time
}

// Error names the holder and the earliest time of a takeover.
func (e *leaseWaitError) Error() string {
	return fmt.Sprintf("waiting until %s for the order lease of %s to run out", e.until.UTC().Format(time.TimeOnly), e.holder)
}

// errLeaseLost means that another node has taken the lease over.
var errLeaseLost = Error.New("the order lease was taken over")

// leases acquires, renews and releases order leases. It is not safe for concurrent use.
type leases struct {
	node     string
	store    store.Store
	now      func() time.Time
	duration time.Duration
	// takeoverWait is the time after a holder's last write after which its orders can no longer arrive.
	takeoverWait time.Duration
	held         map[string]*heldLease
	foreign      map[string]foreignLease
	// adapters holds the adapter versions last ordered, by upstream, for the records read so far.
	adapters map[string]map[string]string
}

// newLeases returns a leases value that holds no lease. clockRateBound is the fraction by which clocks may differ in
// rate, and inFlight is the longest time that a sent order takes to arrive.
func newLeases(node string, s store.Store, now func() time.Time, duration time.Duration, clockRateBound float64, inFlight time.Duration) *leases {
	return &leases{
		node: node, store: s, now: now, duration: duration,
		takeoverWait: duration + time.Duration(float64(duration)*clockRateBound) + inFlight,
		held:         map[string]*heldLease{}, foreign: map[string]foreignLease{},
		adapters: map[string]map[string]string{},
	}
}

func leaseKey(upstream string) string { return "orders/" + upstream }

// acquire ensures that this process holds the lease of u for at least half its duration. fresh is true when the lease
// was not held before; the state of u must then be read again before any order. floor is the fencing token that the
// engine reports; a new token is larger.
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
	if wait := l.checkTakeover(u, r, o.Revision); wait != nil {
		return false, wait
	}
	delete(l.foreign, u.Name)
	next := leaseRecord{Holder: l.node, Token: max(r.Token, floor) + 1, Duration: l.duration, Adapters: r.Adapters}
	return true, l.write(ctx, u.Name, next, o.Revision)
}

// checkTakeover returns a leaseWaitError unless the record of another holder may be replaced now. An engine that
// enforces fencing refuses the old holder's orders once it has seen the new token. Otherwise the record must have been
// unchanged for so long, by this node's own clock, that no order of the old holder can still arrive.
func (l *leases) checkTakeover(u api.Upstream, r leaseRecord, revision int64) error {
	if r.Released || u.Fencing == api.FencingEnforced {
		return nil
	}
	f, seen := l.foreign[u.Name]
	if !seen || f.revision != revision {
		f = foreignLease{revision, l.now()}
		l.foreign[u.Name] = f
	}
	// The holder's duration is longer than this node's when their settings differ.
	wait := max(l.takeoverWait, l.takeoverWait-l.duration+r.Duration)
	if until := f.since.Add(wait); l.now().Before(until) {
		return &leaseWaitError{r.Holder, until}
	}
	return nil
}

// write stores r if the object is still at revision expect, and updates the held leases accordingly.
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
		return errLeaseLost
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

// readBack returns the revision of a write whose answer was lost, or store.ErrConflict if it did not take effect.
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

// setAdapter records the adapter version that is about to be ordered; version "" removes the entry.
func (l *leases) setAdapter(ctx context.Context, upstream, adapter, version string) error {
	h := l.held[upstream]
	if h == nil {
		return errLeaseLost
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

// release marks a held lease as released, so that a successor need not wait. No order may be in flight.
func (l *leases) release(ctx context.Context, upstream string) error {
	h := l.held[upstream]
	if h == nil {
		return nil
	}
	r := h.record
	r.Renewal, r.Released = r.Renewal+1, true
	return l.write(ctx, upstream, r, h.revision)
}

// listLimit is the number of records in one store read.
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

// forget drops a held lease without a write, for a lease that has expired or whose token the engine refused.
func (l *leases) forget(upstream string) { delete(l.held, upstream) }
