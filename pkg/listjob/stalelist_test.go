package listjob

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// staleStore gives lists that are seconds old to callers that allow it: those of the moment at which it was made stale.
type staleStore struct {
	store.Store
	page atomic.Pointer[store.Page]
}

func (s *staleStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if page := s.page.Load(); page != nil && store.IsStale(ctx) && prefix == headKind {
		return *page, nil
	}
	return s.Store.List(ctx, prefix, after, limit)
}

// Guards against a node that can't be called, but calls the hub, and goes on sending items of a job that was ended or taken over elsewhere, since
// the hub knew its job by the store's cheap lists only, which were seconds old.
func TestHubTellsNodesThatCallItWhatIsNewerThanItsList(t *testing.T) {
	for name, change := range map[string]func(a, c *node) error{
		"ended at another node": func(_, c *node) error { return c.End(context.Background(), "j") },
		"ended at the hub":      func(a, _ *node) error { return a.End(context.Background(), "j") },
		"taken over":            func(_, c *node) error { return c.adopt(context.Background(), "j", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 20*time.Millisecond)
			stale := &staleStore{Store: s}
			a := net.addNode(t, stale, e, "a", "b", "c")
			b := net.addNode(t, s, e, "b", "a", "c")
			c := net.addNode(t, s, e, "c", "a", "b")
			assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
			page, err := store.ListAll(context.Background(), s, headKind)
			assert.NilError(t, err)
			stale.page.Store(&page)
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, b.runs("j"))
			net.mu.Lock()
			net.deaf["b"] = true
			net.mu.Unlock()
			assert.NilError(t, change(a, c))
			for until := time.Now().Add(2 * time.Second); b.runs("j"); time.Sleep(20 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(until), "the node still runs items")
			}
		})
	}
}

// Guards against a node that is cut off from all others and goes on sending items of a job that was ended elsewhere, since the store's cheap lists,
// by which it believed to own the job, were seconds old.
func TestCutOffNodeRunsNothingByAnOldList(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 20*time.Millisecond)
	stale := &staleStore{Store: s}
	a := net.addNode(t, stale, e, "b", "a")
	net.addNode(t, s, e, "a", "b")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	page, err := store.ListAll(context.Background(), s, headKind)
	assert.NilError(t, err)
	stale.page.Store(&page)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, a.runs("j"))
	net.cutOff("b", true)
	h, revision, err := a.readStoredHead(context.Background(), "j")
	assert.NilError(t, err)
	h.Ended = true
	_, err = a.putHead(context.Background(), h, revision)
	assert.NilError(t, err)
	for until := time.Now().Add(3 * time.Second); a.runs("j"); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "items of the ended job still run")
	}
	time.Sleep(sweepInterval)
	assert.Assert(t, !a.runs("j"))
}
