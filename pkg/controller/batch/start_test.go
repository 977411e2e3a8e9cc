package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/serving"
)

// lateStore takes 2 ms for a read and 10 ms for a write.
type lateStore struct{ store.Store }

func (s lateStore) Get(ctx context.Context, key string) (store.Object, error) {
	sleep(ctx, 2*time.Millisecond)
	return s.Store.Get(ctx, key)
}

func (s lateStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	sleep(ctx, 2*time.Millisecond)
	return s.Store.List(ctx, prefix, after, limit)
}

func (s lateStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	sleep(ctx, 10*time.Millisecond)
	return s.Store.Put(ctx, key, value, expect)
}

// Guards against idle nodes that wait before they claim a new job: the record of a job is seen later than its summary,
// and listings before each first claim used up a read budget of 1/s.
func TestIdleFleetStartsSmallJobsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, items, rounds = 5, 4, 8
		s := lateStore{memstore.New()}
		var mu sync.Mutex
		started, last := 0, time.Time{}
		invoker := &fakeInvoker{answer: func(ctx context.Context, c serving.Call, n int) (*serving.Result, error) {
			mu.Lock()
			started, last = started+1, time.Now()
			mu.Unlock()
			return slow(100*time.Millisecond)(ctx, c, n)
		}}
		var nodes []*testNode
		for i := range 3 {
			nodes = append(nodes, startNode(t, s, fmt.Sprint("n", i), invoker, 4, nil))
			defer nodes[i].close()
		}
		for round := range rounds {
			time.Sleep(2 * time.Second)
			for j := range jobs {
				nodes[j%3].submit(t, nodes[j%3].upload(t, lot(fmt.Sprint("job-", round, "-", j), items)))
			}
			submitted := time.Now()
			time.Sleep(10 * time.Second)
			mu.Lock()
			assert.Equal(t, started, (round+1)*jobs*items)
			// The 20 items need two runs of 100 ms on the 12 slots.
			assert.Check(t, last.Sub(submitted) < 500*time.Millisecond, "round %d: last item began after %v", round, last.Sub(submitted))
			mu.Unlock()
		}
	})
}

// lot has items that are named after the job.
func lot(name string, items int) string {
	text := ""
	for i := range items {
		text += chatLine(fmt.Sprintf("%s-%d", name, i), "") + "\n"
	}
	return text
}
