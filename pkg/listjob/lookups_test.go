package listjob

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/routing"
)

// unknownSuffix ends the IDs of jobs that nobody submitted.
const unknownSuffix = "-unknown"

// lookupStore counts the reads of jobs that nobody submitted.
type lookupStore struct {
	store.Store
	reads atomic.Int64
}

func (s *lookupStore) Get(ctx context.Context, key string) (store.Object, error) {
	if strings.Contains(key, unknownSuffix) {
		s.reads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

// readsOfUnknownJobs returns the reads of single objects that 20 look-ups of jobs make that nobody submitted, at a node that is not the hub.
func readsOfUnknownJobs(t *testing.T, s *lookupStore, c *Controller) int64 {
	t.Helper()
	jobs := c.For("north")
	for n := range 20 {
		id := string(rune('A'+n)) + unknownSuffix
		switch n % 3 {
		case 0:
			_, err := jobs.Read(context.Background(), id, 0, 0)
			assert.ErrorIs(t, err, ErrNotFound)
		case 1:
			_, err := jobs.Body(context.Background(), id, "item")
			assert.ErrorIs(t, err, ErrNotFound)
		case 2:
			assert.ErrorIs(t, jobs.End(context.Background(), id), ErrNotFound)
		}
	}
	return s.reads.Load()
}

// settle makes a node's configuration count as old, and its knowledge of jobs without customers as not asked yet.
func settle(c *Controller) {
	o := &c.onlyCustomers
	o.observe(c.options.Table(), time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.since.IsZero() {
		o.since = o.since.Add(-time.Minute)
	}
	o.asking.Lock()
	defer o.asking.Unlock()
	o.asked = time.Time{}
}

// Guards against two store reads for each look-up of a job that does not exist, and against jobs without a customer that are not found where
// they may exist: at nodes that were not told of them, after changes of the configuration, with public routes and with hubs that can't tell.
func TestUnknownJobsOfCustomersCostOneRead(t *testing.T) {
	for name, c := range map[string]struct {
		customers, public, legacy, withoutCheck, unsettled, cut bool
		reads                                                   int64
	}{
		"only_customers":     {customers: true, reads: 20},
		"legacy_job":         {customers: true, legacy: true, reads: 40},
		"public_route":       {customers: true, public: true, reads: 40},
		"earlier_hub":        {customers: true, withoutCheck: true, reads: 40},
		"recently_customers": {customers: true, unsettled: true, reads: 40},
		"cut_off":            {customers: true, cut: true, reads: 40},
		"none":               {reads: 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &lookupStore{Store: memstore.New()}
			net, e := newNetwork(), newEngine(t, 1, 0)
			net.withoutCheck, net.publicBatch = c.withoutCheck, c.public
			if c.customers {
				net.customers = []routing.Customer{{Name: "north"}}
			}
			if c.legacy {
				net.addNode(t, s, e, "z", "a", "b") // Its announcement does not reach nodes that start later.
				assert.NilError(t, net.nodes["z"].Accept(context.Background(), submission("legacy", 1)))
			}
			a := net.addNode(t, s, e, "a", "b")
			b := net.addNode(t, s, e, "b", "a")
			for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
				a.mu.Lock()
				swept := a.swept != nil
				a.mu.Unlock()
				if swept {
					break
				}
				assert.Assert(t, time.Now().Before(end), "the hub did not sweep")
			}
			if c.cut {
				net.cutOff("b", false)
			}
			if !c.unsettled {
				settle(b.Controller)
			}
			assert.Equal(t, readsOfUnknownJobs(t, s, b.Controller), c.reads)
			if c.legacy {
				l, err := b.For("north").Read(context.Background(), "legacy", 0, 0)
				assert.NilError(t, err)
				assert.Equal(t, l.Total, 1)
			}
		})
	}
}

// Guards against a job without a customer that is not found at a node that was told of it after the hub knew of none.
func TestAnnouncedJobWithoutCustomerIsFound(t *testing.T) {
	var s store.Store = memstore.New()
	net, e := newNetwork(), newEngine(t, 1, 0)
	net.customers = []routing.Customer{{Name: "north"}}
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	for end := time.Now().Add(20 * time.Second); b.mayExistWithoutCustomer(t.Context(), "legacy"); time.Sleep(20 * time.Millisecond) {
		settle(b.Controller)
		assert.Assert(t, time.Now().Before(end), "the hub does not tell that there are only jobs of customers")
	}
	assert.NilError(t, a.Accept(context.Background(), submission("legacy", 1)))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		b.mu.Lock()
		_, told := b.knownOwners.get("legacy")
		b.mu.Unlock()
		if told {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the owner was not announced")
	}
	l, err := b.For("north").Read(context.Background(), "legacy", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, l.Total, 1)
}
