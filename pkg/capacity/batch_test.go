package capacity_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/batch"
	"trefoilplank.example/pkg/decision/jobstate"
	"trefoilplank.example/pkg/serving"
)

// slowInvoker answers each call after a delay.
type slowInvoker struct {
	fixedInvoker
	delay time.Duration
}

func (v slowInvoker) Do(ctx context.Context, _ api.Upstream, c serving.Call) (*serving.Result, error) {
	select {
	case <-time.After(v.delay):
		return &serving.Result{Status: http.StatusOK, Body: []byte(`{"text":"` + c.CustomID + `"}`), Tokens: 20}, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// batchNode is a node with a batch controller, a lease and workers that fill the slots of one upstream.
type batchNode struct {
	*batch.Controller
	stop context.CancelFunc
	done sync.WaitGroup
}

// startBatchNode starts node i with the given number of slots. It renews its lease in the store every 10 s.
func startBatchNode(s store.Store, i int, v serving.Invoker, slots int) *batchNode {
	board := blackboard.New()
	cfg := testConfig(3, 25)
	board.Config.Set(cfg)
	board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(24 * time.Hour)})
	n := &batchNode{}
	var err error
	n.Controller, err = batch.New(batch.Options{Node: nodeName(i), Store: s, Board: board, Invoker: v})
	must(err == nil, err)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.done.Go(func() { _ = n.Run(ctx) })
	n.done.Go(func() {
		for ctx.Err() == nil {
			_, _ = s.Put(ctx, "nodes/"+nodeName(i), []byte(`{"number":1}`), store.AnyRevision)
			select {
			case <-time.After(10 * time.Second):
			case <-ctx.Done():
			}
		}
	})
	for range slots {
		n.done.Go(func() { batchtest.FillSlot(ctx, n, cfg.Register.Upstreams[0]) })
	}
	return n
}

func (n *batchNode) close() {
	n.stop()
	n.done.Wait()
}

// request handles a caller's request and returns the fields of the JSON answer.
func (n *batchNode) request(r *http.Request) map[string]any {
	id := serving.Identity{Institution: "institution-000", Caller: "tagger", Grants: api.Grants{Models: []string{"model-0"}, Batch: true}}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), nodeName(0)+"-1")))
	must(w.Code == http.StatusOK, w.Body.String())
	out := map[string]any{}
	must(json.Unmarshal(w.Body.Bytes(), &out) == nil, w.Body.String())
	return out
}

// submit uploads a file of items, starts a job on it and returns the job's id.
func (n *batchNode) submit(items int) (job string) {
	var content strings.Builder
	for i := range items {
		fmt.Fprintf(&content, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model-0","messages":[{"role":"user","content":"text %d"}]}}`+"\n", i, i)
	}
	file := n.request(batchtest.Upload("batch", content.String(), ""))["id"]
	return n.request(httptest.NewRequest(http.MethodPost, "/v1/batches", bytes.NewBufferString(fmt.Sprintf(
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file))))["id"].(string)
}

// BenchmarkJob measures the processor time and store calls of a job from its upload to its end, on 8 nodes with 4 slots
// each and with 4 s an item, in virtual time. Lease renewals, which are the writes on nodes/, are left out.
func BenchmarkJob(b *testing.B) {
	for _, items := range []int{20, 1360, 20_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			figures := map[string]float64{}
			for b.Loop() {
				inVirtualTime(func(*testing.T) { measureJob(figures, items) })
			}
			for name, v := range figures {
				b.ReportMetric(v, name)
			}
		})
	}
}

// measureJob runs a job with the given number of items and stores its metrics by name in figures.
func measureJob(figures map[string]float64, items int) {
	s := newCountingStore(memstore.New())
	var fleet []*batchNode
	for i := range 8 {
		fleet = append(fleet, startBatchNode(s, i, slowInvoker{delay: 4 * time.Second}, 4))
	}
	time.Sleep(time.Minute)
	used := processorTime()
	reads, writes, _ := s.totals("")
	_, renewals, _ := s.totals("nodes")
	_, openWrites, openBytes := s.totals("open")
	job := fleet[0].submit(items)
	callerReads := 0
	for status := ""; status != "completed"; {
		time.Sleep(5 * time.Second)
		// The reads that the caller's polls cause are left out.
		before, _, _ := s.totals("")
		status = fleet[0].request(httptest.NewRequest(http.MethodGet, "/v1/batches/"+job, nil))["status"].(string)
		after, _, _ := s.totals("")
		callerReads += after - before
	}
	reads2, writes2, _ := s.totals("")
	_, renewals2, _ := s.totals("nodes")
	_, openWrites2, openBytes2 := s.totals("open")
	figures["cpu-ns/item"] = float64((processorTime() - used).Nanoseconds()) / float64(items)
	figures["reads/job"] = float64(reads2 - reads - callerReads)
	figures["writes/job"] = float64(writes2 - writes - (renewals2 - renewals))
	figures["open-writes/job"] = float64(openWrites2 - openWrites)
	figures["open-B/job"] = float64(openBytes2 - openBytes)
	for _, n := range fleet {
		n.close()
	}
}

// watchSignal calls watched when a watch of open jobs begins, which a node does after it has listed them.
type watchSignal struct {
	store.Store
	watched func()
}

func (s *watchSignal) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	if prefix == jobstore.OpenPrefix {
		s.watched()
	}
	return s.Store.Watch(ctx, prefix, from)
}

// BenchmarkOpenJobs measures the memory of a node for each open job of the fleet, and the processor time to list these
// jobs when the node starts.
func BenchmarkOpenJobs(b *testing.B) {
	for _, n := range []int{1000, 4000, 11_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := memstore.New()
				for i := range n {
					summary := jobstate.Summary{ID: jobstore.NewID(), Institution: fmt.Sprintf("institution-%03d", i%400),
						Caller: "tagger", InputFile: "file-" + fmt.Sprint(i),
						Models: []string{"model-9"}, Items: 1360, Parts: 8, Created: time.Now(), Deadline: time.Now().Add(24 * time.Hour)}
					value, err := json.Marshal(summary)
					must(err == nil, err)
					_, err = s.Put(context.Background(), jobstore.OpenPrefix+summary.ID, value, store.CreateOnly)
					must(err == nil, err)
				}
				var node *batchNode
				used := processorTime()
				b.ReportMetric(retainedBytes(func() any {
					listed := make(chan struct{})
					node = startBatchNode(&watchSignal{s, sync.OnceFunc(func() { close(listed) })}, 0, slowInvoker{}, 0)
					<-listed
					return node
				})/float64(n), "B/job")
				used = processorTime() - used
				b.ReportMetric(float64(used.Nanoseconds())/float64(n), "cpu-ns/job")
				b.ReportMetric(used.Seconds(), "cpu-s/start")
				node.close()
			}
		})
	}
}

// BenchmarkHeldParts measures the memory of a part owner for each part that it holds while 64 slots run, by the number of
// items of the job.
func BenchmarkHeldParts(b *testing.B) {
	for _, items := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			for b.Loop() {
				s := memstore.New()
				node := startBatchNode(s, 0, slowInvoker{delay: time.Hour}, 0)
				job := node.submit(items)
				var heldParts float64
				stop := make(chan struct{})
				state := retainedBytes(func() any {
					ctx, cancel := context.WithCancel(context.Background())
					go func() { <-stop; cancel() }()
					for range 64 {
						go batchtest.FillSlot(ctx, node, testConfig(1, 1).Register.Upstreams[0])
					}
					time.Sleep(5 * time.Second)
					return node
				})
				page, err := s.List(context.Background(), "parts/"+job+"/", "", 1000)
				must(err == nil, err)
				for _, o := range page.Objects {
					if p, err := jobstore.DecodePart(o.Value); err == nil && p.Holder != nil {
						heldParts++
					}
				}
				must(heldParts > 0, "no part of the job has a holder")
				b.ReportMetric(heldParts, "parts")
				b.ReportMetric(state/heldParts, "B/part")
				close(stop)
				node.stop()
			}
		})
	}
}
