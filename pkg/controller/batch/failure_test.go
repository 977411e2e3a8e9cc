package batch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/faultstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/serving"
)

// answerAfter returns an answer function that answers after d, or fails if ctx ends before.
func answerAfter(d time.Duration) func(context.Context, serving.Call, int) (*serving.Result, error) {
	return func(ctx context.Context, _ serving.Call, _ int) (*serving.Result, error) {
		sleep(ctx, d)
		if ctx.Err() != nil {
			return nil, errors.Join(serving.ErrInterrupted, context.Cause(ctx))
		}
		return &serving.Result{Status: http.StatusOK, Body: []byte(`{}`)}, nil
	}
}

// mixedFile returns an input file of chat items of which every third is non-idempotent.
func mixedFile(items int) string {
	var b strings.Builder
	for i := range items {
		extra := ""
		if i%3 == 1 {
			extra = `,"headers":{"Trefoil-Non-Idempotent":"true"}`
		}
		b.WriteString(chatLine(fmt.Sprint("item-", i), extra) + "\n")
	}
	return b.String()
}

// checkFinished asserts that each item has exactly one result and no non-idempotent item ran twice.
func checkFinished(t *testing.T, n *testNode, o object, invoker *fakeInvoker, items int) {
	t.Helper()
	assert.Equal(t, o.Status, "completed")
	ok, failed := n.outputs(t, o.OutputFileID), n.outputs(t, o.ErrorFileID)
	assert.Equal(t, o.Counts.Completed, len(ok))
	assert.Equal(t, o.Counts.Failed, len(failed))
	for i := range items {
		id := fmt.Sprint("item-", i)
		_, isOK := ok[id]
		f, isFailed := failed[id]
		assert.Assert(t, isOK != isFailed, "%s: in output %v, in errors %v", id, isOK, isFailed)
		if i%3 == 1 {
			assert.Assert(t, invoker.count(id) <= 1, "non-idempotent %s ran %d times", id, invoker.count(id))
			if isFailed {
				assert.Equal(t, string(f.Error.Outcome), "unknown")
			}
		} else {
			assert.Assert(t, isOK, "idempotent %s: %+v", id, f.Error)
		}
	}
}

// Guards against lost or repeated results when a node is cut off from the store and another takes over its parts, and
// when the node returns later with its old lease.
func TestNodeIsCutOffAndOthersTakeOver(t *testing.T) {
	for _, comesBack := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const items = 30
			mem := memstore.New()
			var mu sync.Mutex
			cut := false
			cutStore := &faultstore.Store{Store: mem, Before: func(faultstore.Op) faultstore.Fault {
				mu.Lock()
				defer mu.Unlock()
				if cut {
					return faultstore.Down
				}
				return faultstore.None
			}}
			invoker := &fakeInvoker{answer: answerAfter(3 * time.Second)}
			a := startNode(t, cutStore, "a", invoker, 2, nil)
			defer a.close()
			job := a.submit(t, a.upload(t, mixedFile(items)))
			time.Sleep(4 * time.Second)
			mu.Lock()
			cut = true
			mu.Unlock()
			a.board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now()})
			b := startNode(t, mem, "b", invoker, 2, nil)
			defer b.close()
			if comesBack {
				time.Sleep(100 * time.Second)
				mu.Lock()
				cut = false
				mu.Unlock()
				a.board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
			}
			checkFinished(t, b, b.await(t, job, 10*time.Minute), invoker, items)
		})
	}
}

// Guards against lost results, and against a node that stops running the items of its parts, during a store outage of
// 40 seconds.
func TestHeldPartsRunDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 400
		var mu sync.Mutex
		down := false
		s := &faultstore.Store{Store: memstore.New(), Before: func(faultstore.Op) faultstore.Fault {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return faultstore.Down
			}
			return faultstore.None
		}}
		invoker := &fakeInvoker{answer: answerAfter(2 * time.Second)}
		a := startNode(t, s, "a", invoker, 4, nil)
		defer a.close()
		file := a.upload(t, chatFile(items))
		job := a.submit(t, file)
		time.Sleep(5 * time.Second)
		setDown := func(v bool) {
			mu.Lock()
			defer mu.Unlock()
			down = v
		}
		setDown(true)
		before := invoker.total()
		w := a.serve(batchRequest(file, "k", "24h"))
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get("Trefoil-Outcome"), "not-run")
		assert.Assert(t, strings.Contains(w.Body.String(), `"retry_after_seconds":5`), w.Body.String())
		time.Sleep(40 * time.Second)
		// The items of the part of 50 items that the node holds are all run.
		assert.Assert(t, invoker.total()-before >= 30, "%d items before, %d in all", before, invoker.total())
		setDown(false)
		o := a.await(t, job, 10*time.Minute)
		assert.Equal(t, o.Counts.Completed, items)
		assert.Equal(t, len(a.outputs(t, o.OutputFileID)), items)
		for i := range items {
			assert.Equal(t, invoker.count(fmt.Sprint("item-", i)), 1)
		}
	})
}

// Guards against lost or repeated results when store calls of two nodes fail at random points.
func TestRandomStoreFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const items = 24
		faults := map[int]faultstore.Fault{}
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			f := rapid.SampledFrom([]faultstore.Fault{faultstore.Down, faultstore.LoseAnswer, faultstore.LoseRequest}).Draw(rt, "fault")
			first := rapid.IntRange(1, 150).Draw(rt, "call")
			for n := range rapid.IntRange(1, 12).Draw(rt, "length") {
				faults[first+n] = f
			}
		}
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			calls, active := 0, false
			s := &faultstore.Store{Store: memstore.New(), Before: func(faultstore.Op) faultstore.Fault {
				mu.Lock()
				defer mu.Unlock()
				if !active {
					return faultstore.None
				}
				calls++
				return faults[calls]
			}}
			invoker := &fakeInvoker{answer: answerAfter(time.Second)}
			a := startNode(t, s, "a", invoker, 2, nil)
			defer a.close()
			b := startNode(t, s, "b", invoker, 2, nil)
			defer b.close()
			file := a.upload(t, mixedFile(items))
			mu.Lock()
			active = true
			mu.Unlock()
			// The answer may be an error; the request sent again with the same key then returns the same job.
			a.serve(batchRequest(file, "key", "24h"))
			time.Sleep(5 * time.Minute)
			w := b.serve(batchRequest(file, "key", "24h"))
			for range 20 {
				if w.Code == http.StatusOK {
					break
				}
				assert.Equal(t, w.Code, http.StatusServiceUnavailable, w.Body.String())
				w = b.serve(batchRequest(file, "key", "24h"))
			}
			job := decode(t, w, http.StatusOK).ID
			o := b.await(t, job, 30*time.Minute)
			mu.Lock()
			active = false
			mu.Unlock()
			checkFinished(t, b, o, invoker, items)
			list := b.serve(httptest.NewRequest(http.MethodGet, "/v1/batches", nil)).Body.String()
			assert.Equal(t, strings.Count(list, `"object":"batch"`), 1, list)
		})
	})
}

// Guards against results that are not committed before the deadline of a lease that is no longer renewed: other nodes
// would run all their items again.
func TestResultsAreRecordedBeforeTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, memstore.New(), "a", &fakeInvoker{answer: answerAfter(time.Second)}, 2, nil)
		defer a.close()
		job := a.submit(t, a.upload(t, chatFile(1700)))
		time.Sleep(40 * time.Second)
		assert.Equal(t, a.getBatch(t, job).Counts.Completed, 0)
		a.board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(lease.Default.Renew - time.Second)})
		time.Sleep(2 * time.Second)
		assert.Assert(t, a.getBatch(t, job).Counts.Completed >= 70)
	})
}
