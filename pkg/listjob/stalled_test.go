package listjob

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/routing"
)

// Guards against items that fail for want of a route, or go to the former service, by a configuration that was replaced while the process did not run.
func TestItemsAreMatchedAfterTheTableIsConfirmed(t *testing.T) {
	var calls []string
	c := New(Options{
		Table:      func() *routing.Table { calls = append(calls, "table"); return nil },
		AwaitTable: func(context.Context) { calls = append(calls, "await") },
	})
	c.startWaitingItems(context.Background())
	assert.DeepEqual(t, calls, []string{"await", "table"})
}
