package reconcile

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
)

// rollout is the object rollouts/MODEL. Its conditional update prevents two nodes that both reconcile a model from
// taking replicas out of service at the same time.
type rollout struct {
	// Version is the desired version. Previous is the version that replicas return to when Version is stopped.
	Version  string    `json:"version"`
	Previous string    `json:"previous,omitempty"`
	Failures []failure `json:"failures,omitempty"`
	// Stopped is set when Version failed too often; replicas then return to Previous.
	Stopped bool      `json:"stopped,omitempty"`
	Since   time.Time `json:"since"`
	// Claims holds the upstreams that are out of service for a change, with the node that ordered the change.
	Claims map[string]string `json:"claims,omitempty"`
}

// failure is one failure of the version on an upstream.
type failure struct {
	Upstream string    `json:"upstream"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

// rollouts reads and writes roll-out records through a cache. Every write is conditional on the cached revision, so that
// a stale cache causes a conflict and never a wrong write.
type rollouts struct {
	store store.Store
	cache map[string]*cachedRollout
}

type cachedRollout struct {
	rollout
	revision int64
}

func rolloutKey(model string) string { return "rollouts/" + model }

// get returns the record of a model from the cache or the store, empty if there is none.
func (r *rollouts) get(ctx context.Context, model string) (rollout, error) {
	if c := r.cache[model]; c != nil {
		return c.rollout, nil
	}
	c := &cachedRollout{}
	o, err := r.store.Get(ctx, rolloutKey(model))
	switch {
	case errors.Is(err, store.ErrNotFound):
		c.revision = store.CreateOnly
	case err != nil:
		return rollout{}, err
	default:
		if err := json.Unmarshal(o.Value, &c.rollout); err != nil {
			return rollout{}, Error.Wrap(err)
		}
		c.revision = o.Revision
	}
	r.cache[model] = c
	return c.rollout, nil
}

// forget makes the next get read the store.
func (r *rollouts) forget(model string) { delete(r.cache, model) }

// update applies change to a copy of the record and writes it. After a failed write the cached record is dropped, and
// the caller must plan again on a new read.
func (r *rollouts) update(ctx context.Context, model string, change func(*rollout)) error {
	if _, err := r.get(ctx, model); err != nil {
		return err
	}
	c := r.cache[model]
	next := c.rollout
	next.Claims = maps.Clone(next.Claims)
	if next.Claims == nil {
		next.Claims = map[string]string{}
	}
	next.Failures = slices.Clone(next.Failures)
	change(&next)
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	revision, err := r.store.Put(ctx, rolloutKey(model), value, c.revision)
	if errors.Is(err, store.ErrUnknown) {
		revision, err = r.readBack(ctx, model, value)
	}
	if err != nil {
		r.forget(model)
		return err
	}
	r.cache[model] = &cachedRollout{rollout: next, revision: revision}
	return nil
}

// readBack returns the revision of a write whose answer was lost, or store.ErrConflict if it did not take effect.
func (r *rollouts) readBack(ctx context.Context, model string, wrote []byte) (int64, error) {
	o, err := r.store.Get(ctx, rolloutKey(model))
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(o.Value, wrote) {
		return 0, store.ErrConflict
	}
	return o.Revision, nil
}
