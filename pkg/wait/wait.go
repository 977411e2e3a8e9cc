// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep returns nil after d, or the context's error when ctx ends before.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
