// Package objects retries single calls of the object API, resolves whether a write whose answer was lost took effect, and
// stores compressed data that may be larger than one value.
package objects

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"trefoilplank.example/pkg/adapter/store"
)

// Bounds of one call with its retries. A caller of the HTTP interface waits at most about maxElapsed for it.
const (
	maxTries     = 5
	maxElapsed   = 3 * time.Second
	firstBackoff = 30 * time.Millisecond
)

// Create writes value if the object does not exist. It also succeeds if the object already has exactly this value, so
// that a write whose answer was lost can be repeated. Errors: store.ErrConflict (the object has another value),
// store.ErrUnknown (the write may take effect), store.ErrUnavailable (it had no effect).
func Create(ctx context.Context, s store.Store, key string, value []byte) (int64, error) {
	return Update(ctx, s, key, value, store.CreateOnly)
}

// Update writes value if the object's revision is expect, with the errors of Create. The value must differ from all
// other values written to the key; otherwise the write of another node could be mistaken for this one.
func Update(ctx context.Context, s store.Store, key string, value []byte, expect int64) (int64, error) {
	mayTakeEffect := false
	rev, err := retry(ctx, func() (int64, error) {
		rev, err := s.Put(ctx, key, value, expect)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, store.ErrConflict):
			rev, err = revisionOfValue(ctx, s, key, value)
			mayTakeEffect = mayTakeEffect || errors.Is(err, store.ErrUnknown)
			return rev, err
		case errors.Is(err, store.ErrTooLarge):
			return 0, backoff.Permanent(err)
		case !errors.Is(err, store.ErrUnavailable):
			mayTakeEffect = true
		}
		return 0, err
	})
	switch {
	case err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrTooLarge):
		return rev, err
	case mayTakeEffect || !errors.Is(err, store.ErrUnavailable):
		return 0, store.ErrUnknown
	}
	return 0, err
}

// revisionOfValue returns the object's revision if it has exactly this value, or store.ErrConflict if not.
func revisionOfValue(ctx context.Context, s store.Store, key string, value []byte) (int64, error) {
	o, err := s.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(o.Value, value):
		return o.Revision, nil
	case err == nil || errors.Is(err, store.ErrNotFound):
		return 0, backoff.Permanent(store.ErrConflict)
	}
	// The read failed, so it is not known which write took effect.
	return 0, store.ErrUnknown
}

// Get reads an object and retries while the store does not answer. The error is store.ErrNotFound if there is none.
func Get(ctx context.Context, s store.Store, key string) (store.Object, error) {
	return retry(ctx, func() (store.Object, error) {
		o, err := s.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return o, backoff.Permanent(err)
		}
		return o, err
	})
}

// List reads one page and retries while the store does not answer.
func List(ctx context.Context, s store.Store, prefix, after string, limit int) (store.Page, error) {
	return retry(ctx, func() (store.Page, error) { return s.List(ctx, prefix, after, limit) })
}

// Delete removes an object whatever its revision. It is no error if the object does not exist.
func Delete(ctx context.Context, s store.Store, key string) error {
	_, err := retry(ctx, func() (struct{}, error) {
		err := s.Delete(ctx, key, store.AnyRevision)
		if errors.Is(err, store.ErrNotFound) {
			err = nil
		}
		return struct{}{}, err
	})
	return err
}

// retry calls op with exponential backoff until it succeeds, fails permanently, or maxTries or maxElapsed is reached.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	v, err := backoff.Retry(ctx, op, backoff.WithBackOff(b), backoff.WithMaxTries(maxTries),
		backoff.WithMaxElapsedTime(maxElapsed))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Err
	}
	return v, err
}
