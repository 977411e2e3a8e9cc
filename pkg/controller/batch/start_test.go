package batch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// slowStore is a store whose reads take 2 ms and whose writes take 10 ms.
type slowStore struct{ store.Store }

func (s slowStore) Get(ctx context.Context, key string) (store.Object, error) {
	sleep(ctx, 2*time.Millisecond)
	return s.Store.Get(ctx, key)
}

func (s slowStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	sleep(ctx, 2*time.Millisecond)
	return s.Store.List(ctx, prefix, after, limit)
}

func (s slowStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	sleep(ctx, 10*time.Millisecond)
	return s.Store.Put(ctx, key, value, expect)
}

// Guards against idle nodes that wait before they claim parts of a new job. Nodes see the summary of a job before its
// record exists, and listing the part records before the first claim would use up a read budget of 1/s.
func TestIdleFleetStartsSmallJobsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, items, rounds = 5, 4, 8
		s := slowStore{memstore.New()}
		var mu sync.Mutex
		started, last := 0, time.Time{}
		invoker := &fakeInvoker{answer: func(ctx context.Context, c serving.Call, n int) (*serving.Result, error) {
			mu.Lock()
			started, last = started+1, time.Now()
			mu.Unlock()
			return answerAfter(100*time.Millisecond)(ctx, c, n)
		}}
		var nodes []*testNode
		for i := range 3 {
			nodes = append(nodes, startNode(t, s, fmt.Sprint("n", i), invoker, 4, nil))
			defer nodes[i].close()
		}
		live := map[string]blackboard.Member{}
		for _, n := range nodes {
			live[n.Node] = blackboard.Member{Name: n.Node}
		}
		for _, n := range nodes {
			n.board.Members.Set(blackboard.Members{Self: n.Node, Live: live})
		}
		for round := range rounds {
			time.Sleep(2 * time.Second)
			for j := range jobs {
				nodes[j%3].submit(t, nodes[j%3].upload(t, namedFile(fmt.Sprint("job-", round, "-", j), items)))
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

// namedFile returns an input file whose items have custom ids that start with name.
func namedFile(name string, items int) string {
	text := ""
	for i := range items {
		text += chatLine(fmt.Sprintf("%s-%d", name, i), "") + "\n"
	}
	return text
}

// Guards against a part that stays for idleRelease at a node whose only upstream for it was ejected, while another node
// has idle slots. Also guards against releasing parts that no other upstream could run.
func TestPartMovesWhenItsUpstreamIsEjected(t *testing.T) {
	for _, elsewhere := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			// The job has four parts of one item; node a claims all of them.
			const items = 4
			s := slowStore{memstore.New()}
			other := testUpstream
			other.Name = "engine-2"
			config := testConfig
			config.Register.Upstreams = []api.Upstream{testUpstream, other}
			invoker := &fakeInvoker{}
			owner := func(own string) func(*Options) {
				return func(o *Options) {
					o.Owns = func(u string) bool { return u == own }
					o.Board.Config.Set(config)
				}
			}
			a := startNode(t, s, "a", invoker, 0, owner("engine-1"))
			defer a.close()
			a.Next(testUpstream)
			a.submit(t, a.upload(t, chatFile(items)))
			time.Sleep(5 * time.Second)
			b := startNode(t, s, "b", invoker, 0, owner("engine-2"))
			defer b.close()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			b.done.Go(func() { batchtest.FillSlot(ctx, b, other) })
			time.Sleep(12 * time.Second)
			assert.Equal(t, invoker.total(), 0)
			ejected := map[string]blackboard.UpstreamStatus{"engine-1": {Health: blackboard.HealthEjected}}
			if !elsewhere {
				ejected["engine-2"] = blackboard.UpstreamStatus{Health: blackboard.HealthEjected}
			}
			a.board.Upstreams.Set(ejected)
			time.Sleep(700 * time.Millisecond)
			want := 0
			if elsewhere {
				want = items
			}
			assert.Equal(t, invoker.total(), want)
			stop()
		})
	}
}

// Guards against a part that stays for idleRelease at a node whose only upstream for it moved to another owner.
func TestPartMovesWithTheOwnerOfItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 4
		s := slowStore{memstore.New()}
		invoker := &fakeInvoker{}
		var moved atomic.Bool
		a := startNode(t, s, "a", invoker, 0, func(o *Options) { o.Owns = func(string) bool { return !moved.Load() } })
		defer a.close()
		a.Next(testUpstream)
		a.submit(t, a.upload(t, chatFile(items)))
		time.Sleep(5 * time.Second)
		b := startNode(t, s, "b", invoker, 1, func(o *Options) { o.Owns = func(string) bool { return moved.Load() } })
		defer b.close()
		time.Sleep(12 * time.Second)
		assert.Equal(t, invoker.total(), 0)
		moved.Store(true)
		a.board.Members.Set(blackboard.Members{Self: "a"})
		b.askForWork()
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, invoker.total(), items)
	})
}

// askForWork makes the fake admission ask for work again, as a new owner of an upstream does.
func (n *testNode) askForWork() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notifyAdmission()
}
