package batch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/serving"
)

// fakePeers calls the receivers of the nodes of a test directly.
type fakePeers map[string]*Receiver

func (f fakePeers) Call(_ context.Context, node, method string, args, reply any) error {
	if method != "Batch.Cancel" || f[node] == nil {
		return peer.ErrUnreachable
	}
	return f[node].Cancel(args.(CancelArgs), reply.(*CancelReply))
}

func (f fakePeers) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against a receiver that net/rpc can't register, which would otherwise fail only when a node starts.
func TestReceiverRegistersWithNetRPC(t *testing.T) {
	assert.NilError(t, rpc.NewServer().RegisterName("Batch", &Receiver{}))
}

// Guards against a cancelled job whose items still run, and against results recorded after its status is cancelled. The
// cancel comes at a random moment of the job, with and without the call to the holders of its parts.
func TestCancelAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		after := time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond
		notify := rapid.Bool().Draw(rt, "told")
		synctest.Test(t, func(t *testing.T) {
			const items = 40
			s := memstore.New()
			invoker := &fakeInvoker{answer: answerAfter(1500 * time.Millisecond)}
			peers := fakePeers{}
			change := func(o *Options) {
				if notify {
					o.Peers = peers
				}
			}
			a := startNode(t, s, "a", invoker, 2, change)
			defer a.close()
			b := startNode(t, s, "b", invoker, 2, change)
			defer b.close()
			peers["a"], peers["b"] = a.Receiver(), b.Receiver()
			job := a.submit(t, a.upload(t, chatFile(items)))
			time.Sleep(after)
			w := b.serve(httptest.NewRequest(http.MethodPost, "/v1/batches/"+job+"/cancel", nil))
			if w.Code == http.StatusConflict {
				assert.Equal(t, b.await(t, job, time.Minute).Status, "completed")
				return
			}
			decode(t, w, http.StatusOK)
			o := a.await(t, job, time.Minute)
			assert.Equal(t, o.Status, "cancelled")
			lines, ran := len(a.outputs(t, o.OutputFileID)), invoker.total()
			assert.Equal(t, o.Counts.Completed, lines)
			assert.Equal(t, o.Counts.Failed, 0)
			time.Sleep(10 * time.Minute)
			// A claim in progress may start items until it reads the job for the first time, but not later.
			assert.Assert(t, invoker.total() <= ran+2, "%d items ran after the cancel", invoker.total()-ran)
			assert.Equal(t, len(a.outputs(t, o.OutputFileID)), lines)
			assert.Equal(t, a.getBatch(t, job).Counts, o.Counts)
			page, err := s.List(t.Context(), "open/", "", 0)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Objects), 0)
		})
	})
}

// slowChunks is a store in which reading the items of a part takes a second.
type slowChunks struct{ store.Store }

func (s slowChunks) Get(ctx context.Context, key string) (store.Object, error) {
	if strings.HasPrefix(key, "files/data/") {
		time.Sleep(time.Second)
	}
	return s.Store.Get(ctx, key)
}

// Guards against items of a cancelled job that run for seconds, until the first commit of their part: the part was being claimed
// when the cancel came, so that there was nothing to drop.
func TestPartLoadedAfterTheCancelDoesNotRun(t *testing.T) {
	for _, notify := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, invoker, peers := slowChunks{memstore.New()}, &fakeInvoker{answer: answerAfter(1500 * time.Millisecond)}, fakePeers{}
			change := func(o *Options) {
				if notify {
					o.Peers = peers
				}
			}
			a := startNode(t, s, "a", invoker, 2, change)
			defer a.close()
			peers["a"] = a.Receiver()
			job := a.submit(t, a.upload(t, chatFile(40)))
			time.Sleep(500 * time.Millisecond)
			decode(t, a.serve(httptest.NewRequest(http.MethodPost, "/v1/batches/"+job+"/cancel", nil)), http.StatusOK)
			assert.Equal(t, a.await(t, job, time.Minute).Status, "cancelled")
			time.Sleep(10 * time.Minute)
			assert.Equal(t, invoker.total(), 0)
		})
	}
}

// Guards against runs that keep the engine busy after their job was cancelled.
func TestCancelStopsRunsAtTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invoker := &fakeInvoker{answer: answerAfter(time.Hour)}
		a := startNode(t, memstore.New(), "a", invoker, 3, nil)
		defer a.close()
		job := a.submit(t, a.upload(t, chatFile(5)))
		time.Sleep(10 * time.Second)
		a.serve(httptest.NewRequest(http.MethodPost, "/v1/batches/"+job+"/cancel", nil))
		synctest.Wait()
		invoker.mu.Lock()
		defer invoker.mu.Unlock()
		assert.Equal(t, len(invoker.cancelled), 3)
	})
}

// Guards against an answer to a cancel request whose counts omit the results recorded before.
func TestCancelAnswerHasTheRecordedCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, memstore.New(), "a", &fakeInvoker{answer: answerAfter(time.Second)}, 2, nil)
		defer a.close()
		job := a.submit(t, a.upload(t, chatFile(40)))
		time.Sleep(10_300 * time.Millisecond)
		before := a.getBatch(t, job)
		assert.Assert(t, before.Counts.Completed > 0)
		o := decode(t, a.serve(httptest.NewRequest(http.MethodPost, "/v1/batches/"+job+"/cancel", nil)), http.StatusOK)
		assert.Equal(t, o.Status, "cancelling")
		assert.Equal(t, o.Counts, before.Counts)
		assert.Equal(t, a.await(t, job, time.Minute).Counts, before.Counts)
	})
}

// Guards against a preempted item that is lost or charged with an attempt, and against a preempted non-idempotent item
// that is run again.
func TestPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 9
		invoker := &fakeInvoker{answer: answerAfter(3 * time.Second)}
		a := startNode(t, memstore.New(), "a", invoker, 0, nil)
		defer a.close()
		ctx, stop := context.WithCancel(t.Context())
		var slots sync.WaitGroup
		slots.Go(func() {
			for n := 0; ctx.Err() == nil; {
				r, ok := a.Next(testUpstream)
				if !ok {
					sleep(ctx, 100*time.Millisecond)
					continue
				}
				run, cancel := context.WithCancelCause(context.Background())
				if n++; n <= 40 {
					time.AfterFunc(time.Second, func() { cancel(serving.ErrPreempted) })
				}
				r.Run(run, &serving.Slot{Upstream: testUpstream})
				cancel(nil)
			}
		})
		job := a.submit(t, a.upload(t, mixedFile(items)))
		checkFinished(t, a, a.await(t, job, 30*time.Minute), invoker, items)
		// An item that is alone in its part runs again after each preemption, more often than an item may be attempted.
		most := 0
		for i := range items {
			most = max(most, invoker.count(fmt.Sprint("item-", i)))
		}
		assert.Assert(t, most > 6, "%d runs", most)
		stop()
		slots.Wait()
	})
}

// fakeQuarantine marks a fingerprint suspect after one crash and quarantines it after two.
type fakeQuarantine struct {
	mu      sync.Mutex
	crashes map[string]int
}

func (q *fakeQuarantine) Check(_ context.Context, works failedruns.Works, _ string) (serving.Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch n := q.crashes[works.Request]; {
	case n >= 2:
		return serving.VerdictQuarantined, time.Hour
	case n == 1:
		return serving.VerdictSuspect, 0
	}
	return serving.VerdictClear, 0
}

func (q *fakeQuarantine) ReportRun(_ context.Context, works failedruns.Works, _, _ string, crashed bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if crashed {
		q.crashes[works.Request]++
	} else {
		delete(q.crashes, works.Request)
	}
	return false
}

// Guards against an item that crashes upstreams again and again, and against other items that fail because they ran on
// the same upstream.
func TestCrashingItemIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 12
		invoker := &fakeInvoker{}
		invoker.answer = func(ctx context.Context, c serving.Call, n int) (*serving.Result, error) {
			if c.CustomID == "item-5" {
				return nil, fmt.Errorf("%w: %w", serving.ErrUpstreamCrashed, serving.ErrInterrupted)
			}
			return answerAfter(time.Second)(ctx, c, n)
		}
		a := startNode(t, memstore.New(), "a", invoker, 2, func(o *Options) {
			o.Quarantine = &fakeQuarantine{crashes: map[string]int{}}
		})
		defer a.close()
		job := a.submit(t, a.upload(t, chatFile(items)))
		o := a.await(t, job, 10*time.Minute)
		assert.Equal(t, o.Counts.Completed, items-1)
		assert.Equal(t, invoker.count("item-5"), 2)
		assert.Equal(t, a.outputs(t, o.ErrorFileID)["item-5"].Error.Code, "request_quarantined")
	})
}

// excusingQuarantine clears every request and excuses every crash.
type excusingQuarantine struct{ fakeQuarantine }

func (*excusingQuarantine) ReportRun(_ context.Context, _ failedruns.Works, _, _ string, crashed bool) bool {
	return crashed
}

// Guards against a sound item that ends with an error because it ran on several upstreams that were lost together with others.
func TestItemLostWithOthersIsStillOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invoker := &fakeInvoker{}
		invoker.answer = func(ctx context.Context, c serving.Call, n int) (*serving.Result, error) {
			if n <= 10 {
				return nil, fmt.Errorf("%w: %w", serving.ErrUpstreamCrashed, serving.ErrInterrupted)
			}
			return answerAfter(time.Second)(ctx, c, n)
		}
		a := startNode(t, memstore.New(), "a", invoker, 2, func(o *Options) { o.Quarantine = &excusingQuarantine{} })
		defer a.close()
		o := a.await(t, a.submit(t, a.upload(t, chatFile(1))), 10*time.Minute)
		assert.Equal(t, o.Counts.Completed, 1)
	})
}

// Guards against a job that never ends because of an item that can't succeed, and against an item that fails because its
// upstream can't be reached for a while.
func TestItemsThatCannotSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invoker := &fakeInvoker{}
		invoker.answer = func(_ context.Context, c serving.Call, n int) (*serving.Result, error) {
			switch c.CustomID {
			case "item-0":
				return nil, serving.ErrInterrupted
			case "item-1":
				return &serving.Result{Status: 500, Body: []byte("no JSON")}, nil
			case "item-2":
				return &serving.Result{Status: 400, Body: []byte(`{"error":{}}`)}, nil
			case "item-3":
				if n <= 20 {
					return nil, serving.ErrNotStarted
				}
			}
			return &serving.Result{Status: 200, Body: []byte(`{}`)}, nil
		}
		a := startNode(t, memstore.New(), "a", invoker, 2, nil)
		defer a.close()
		job := a.submit(t, a.upload(t, chatFile(5)))
		o := a.await(t, job, time.Hour)
		failed := a.outputs(t, o.ErrorFileID)
		assert.Equal(t, o.Counts.Completed, 2)
		assert.Equal(t, failed["item-0"].Error.Code, "upstream_failed")
		assert.Equal(t, string(failed["item-0"].Error.Outcome), "unknown")
		assert.Equal(t, invoker.count("item-0"), 3)
		assert.Equal(t, failed["item-1"].Response.StatusCode, 500)
		assert.Equal(t, string(failed["item-1"].Response.Body), `"no JSON"`)
		assert.Equal(t, invoker.count("item-2"), 1)
	})
}

// Guards against a job that stays open past its completion window because too few slots run it, and against the outcome
// `not-run` for an item that may have run.
func TestJobExpiresAtWindowEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invoker := &fakeInvoker{answer: answerAfter(20 * time.Second)}
		a := startNode(t, memstore.New(), "a", invoker, 1, nil)
		defer a.close()
		file := a.upload(t, chatFile(20))
		job := decode(t, a.serve(batchRequest(file, "", "1m")), http.StatusOK).ID
		o := a.await(t, job, 2*time.Minute)
		assert.Equal(t, o.Status, "expired")
		ok, failed := a.outputs(t, o.OutputFileID), a.outputs(t, o.ErrorFileID)
		assert.Equal(t, len(ok)+len(failed), 20)
		assert.Equal(t, o.Counts.Completed, len(ok))
		assert.Equal(t, o.Counts.Failed, len(failed))
		for id, l := range failed {
			assert.Equal(t, l.Error.Code, "batch_expired")
			if invoker.count(id) > 0 {
				assert.Equal(t, string(l.Error.Outcome), "unknown")
			}
		}
	})
}

// Guards against a job of 20 items that waits behind a large job of the same institution.
func TestSmallJobIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invoker := &fakeInvoker{answer: answerAfter(time.Second)}
		a := startNode(t, memstore.New(), "a", invoker, 4, nil)
		defer a.close()
		large := a.submit(t, a.upload(t, chatFile(20_000)))
		time.Sleep(time.Minute)
		smallJob := a.submit(t, a.upload(t, strings.ReplaceAll(chatFile(20), "item-", "lot-")))
		started := time.Now()
		a.await(t, smallJob, 30*time.Second)
		t.Logf("job of 20 items done after %v beside a job of 20,000 items", time.Since(started))
		assert.Equal(t, a.getBatch(t, large).Status, "in_progress")
	})
}

// Guards against a part that stays with a node whose upstream has no idle slot, while another node has one.
func TestStarvedPartMovesToIdleNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		invoker := &fakeInvoker{answer: answerAfter(time.Second)}
		a := startNode(t, s, "a", invoker, 0, nil)
		defer a.close()
		// Node a has an idle slot for a moment and claims parts; then online work takes the slot, so no item runs.
		job := a.submit(t, a.upload(t, chatFile(20)))
		a.Next(testUpstream)
		time.Sleep(5 * time.Second)
		a.mu.Lock()
		held := len(a.parts)
		a.mu.Unlock()
		assert.Assert(t, held > 0)
		b := startNode(t, s, "b", invoker, 2, nil)
		defer b.close()
		started := time.Now()
		b.await(t, job, 3*time.Minute)
		t.Logf("done after %v", time.Since(started))
	})
}

// Guards against claiming parts for an upstream that was removed from the register or is marked as leaving. The node
// would hold them without running them while other nodes have idle slots.
func TestNoClaimForAnUpstreamThatLeft(t *testing.T) {
	for _, change := range []func(*api.Config){
		func(c *api.Config) { c.Register.Upstreams = nil },
		func(c *api.Config) {
			c.Register.Upstreams = []api.Upstream{testUpstream}
			c.Register.Upstreams[0].Leaving = true
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			a := startNode(t, memstore.New(), "a", &fakeInvoker{}, 0, nil)
			defer a.close()
			_, ok := a.Next(testUpstream)
			assert.Assert(t, !ok)
			config := testConfig
			change(&config)
			a.board.Config.Set(config)
			a.submit(t, a.upload(t, chatFile(5)))
			time.Sleep(10 * time.Second)
			a.mu.Lock()
			defer a.mu.Unlock()
			assert.Equal(t, len(a.parts), 0)
		})
	}
}

// Guards against claiming parts for an upstream that another node owns. A node that starts alone asks for work for every
// upstream; once it knows the other nodes, it would hold such parts unused for 30 s.
func TestNoClaimForAnUpstreamOfAnotherOwner(t *testing.T) {
	for _, owns := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			a := startNode(t, memstore.New(), "a", &fakeInvoker{}, 0, func(o *Options) {
				o.Owns = func(string) bool { return owns }
			})
			defer a.close()
			_, ok := a.Next(testUpstream)
			assert.Assert(t, !ok)
			a.submit(t, a.upload(t, chatFile(5)))
			time.Sleep(10 * time.Second)
			a.mu.Lock()
			defer a.mu.Unlock()
			assert.Equal(t, len(a.parts) > 0, owns)
		})
	}
}
