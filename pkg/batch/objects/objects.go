// Package objects makes single writes of the object API safe against lost answers, and stores compressed data
// that may be larger than one value.
package objects

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"trefoilplank.example/pkg/adapter/store"
)

// Bounds of one write with its retries. A caller of the HTTP interface waits at most about this long.
const (
	maxTries     = 5
	maxElapsed   = 3 * time.Second
	firstBackoff = 30 * time.Millisecond
)

// Create writes value if the object does not exist. It succeeds too when the object already holds exactly
// value, so a lost answer is resolved by trying again. Errors: store.ErrConflict (another value is there),
// store.ErrUnknown (the write may take effect), store.ErrUnavailable (it did not).
func Create(ctx context.Context, s store.Store, key string, value []byte) (int64, error) {
	return Update(ctx, s, key, value, store.CreateOnly)
}

// Update writes value if the object's revision is expect, with the errors of Create. The value must differ
// from all other values that anyone writes to the key; otherwise another's write is taken for this one.
func Update(ctx context.Context, s store.Store, key string, value []byte, expect int64) (int64, error) {
	unknown := false
	rev, err := retry(ctx, func() (int64, error) {
		rev, err := s.Put(ctx, key, value, expect)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, store.ErrConflict):
			rev, err = same(ctx, s, key, value)
			unknown = unknown || errors.Is(err, store.ErrUnknown)
			return rev, err
		case errors.Is(err, store.ErrTooLarge):
			return 0, backoff.Permanent(err)
		case !errors.Is(err, store.ErrUnavailable):
			unknown = true
		}
		return 0, err
	})
	switch {
	case err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrTooLarge):
		return rev, err
	case unknown || !errors.Is(err, store.ErrUnavailable):
		return 0, store.ErrUnknown
	}
	return 0, err
}

// same returns the object's revision if it holds value.
func same(ctx context.Context, s store.Store, key string, value []byte) (int64, error) {
	o, err := s.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(o.Value, value):
		return o.Revision, nil
	case err == nil || errors.Is(err, store.ErrNotFound):
		return 0, backoff.Permanent(store.ErrConflict)
	}
	// The read gave no answer, so it is not known whose value is there.
	return 0, store.ErrUnknown
}

// Get reads an object and retries while the store gives no answer.
func Get(ctx context.Context, s store.Store, key string) (store.Object, error) {
	return retry(ctx, func() (store.Object, error) {
		o, err := s.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return o, backoff.Permanent(err)
		}
		return o, err
	})
}

// List reads one page and retries while the store gives no answer.
func List(ctx context.Context, s store.Store, prefix, after string, limit int) (store.Page, error) {
	return retry(ctx, func() (store.Page, error) { return s.List(ctx, prefix, after, limit) })
}

// Delete removes an object without a condition; an absent object is no error.
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
