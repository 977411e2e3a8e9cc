package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/lease"
)

// Observer decides from lease objects whether a role may be taken over from its holder. It reads an object only when it
// is asked about that node and a read can change the decision, so a healthy holder costs at most one read per lease
// duration.
type Observer struct {
	store  store.Store
	params lease.Params

	mu           sync.Mutex
	observations map[string]lease.Observation
}

// NewObserver returns an observer.
func NewObserver(s store.Store, p lease.Params) *Observer {
	return &Observer{store: s, params: p, observations: map[string]lease.Observation{}}
}

// MayTake decides whether this node may take over a role whose record names holder and the token of its lease
// (lease.Role). It does not block until a takeover is allowed: a decision that forbids it holds the time to wait before
// the next call. inFlight is 0 unless the effects go to an upstream that ignores fencing tokens.
func (o *Observer) MayTake(ctx context.Context, holder string, token int64, inFlight time.Duration) (lease.Takeover, error) {
	d := o.params.MayTake(o.observation(holder), token, time.Now(), inFlight)
	if d.Allowed || !d.ReadAgain || d.Wait > 0 {
		return d, nil
	}
	if err := o.refresh(ctx, holder); err != nil {
		return lease.Takeover{Reason: "the holder's lease could not be read"}, err
	}
	return o.params.MayTake(o.observation(holder), token, time.Now(), inFlight), nil
}

// observation returns the last observation of a holder's lease object.
func (o *Observer) observation(holder string) lease.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.observations[holder]
}

// refresh reads the holder's lease object and updates its observation.
func (o *Observer) refresh(ctx context.Context, holder string) error {
	start, key := time.Now(), lease.Prefix+holder
	// The observation is confirmed as of start, so the answer must not come from a read that began earlier.
	object, err := o.store.Get(store.WithFresh(ctx), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var record *lease.Record
	if err == nil {
		r, err := lease.Decode(key, object.Value, object.Revision)
		if err != nil {
			return err
		}
		record = &r
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations[holder] = o.observations[holder].AfterRead(record, object.Revision, start, time.Now())
	return nil
}

// Forget drops the observation of a holder. Call it when no role record names the holder any more.
func (o *Observer) Forget(holder string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.observations, holder)
}
