// Package wait sleeps until a time has passed or a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep returns after d, or with the context's error when it ends before.
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
