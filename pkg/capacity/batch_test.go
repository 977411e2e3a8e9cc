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

// slowInvoker answers each call after a time.
type slowInvoker struct {
	fixedInvoker
	answer time.Duration
}

func (v slowInvoker) Do(ctx context.Context, _ api.Upstream, c serving.Call) (*serving.Result, error) {
	select {
	case <-time.After(v.answer):
		return &serving.Result{Status: http.StatusOK, Body: []byte(`{"text":"` + c.CustomID + `"}`), Tokens: 20}, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// batchNode is a node that owns one upstream with a number of slots.
type batchNode struct {
	*batch.Controller
	stop context.CancelFunc
	done sync.WaitGroup
}

func startBatch(s store.Store, i int, v serving.Invoker, slots int) *batchNode {
	board := blackboard.New()
	cfg := configOf(3, 25)
	board.Config.Set(cfg)
	board.Lease.Set(blackboard.Lease{Number: 1, Deadline: time.Now().Add(24 * time.Hour)})
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
		n.done.Go(func() { batchtest.Fill(ctx, n, cfg.Register.Upstreams[0]) })
	}
	return n
}

func (n *batchNode) close() {
	n.stop()
	n.done.Wait()
}

// do sends a caller's request and returns the fields of the answer.
func (n *batchNode) do(r *http.Request) map[string]any {
	id := serving.Identity{Institution: "institution-000", Caller: "tagger", Grants: api.Grants{Models: []string{"model-0"}, Batch: true}}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), nodeName(0)+"-1")))
	must(w.Code == http.StatusOK, w.Body.String())
	out := map[string]any{}
	must(json.Unmarshal(w.Body.Bytes(), &out) == nil, w.Body.String())
	return out
}

// submit uploads a file of items and starts a job on it.
func (n *batchNode) submit(items int) (job string) {
	var content strings.Builder
	for i := range items {
		fmt.Fprintf(&content, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model-0","messages":[{"role":"user","content":"text %d"}]}}`+"\n", i, i)
	}
	file := n.do(batchtest.Upload("batch", content.String(), ""))["id"]
	return n.do(httptest.NewRequest(http.MethodPost, "/v1/batches", bytes.NewBufferString(fmt.Sprintf(
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file))))["id"].(string)
}

// BenchmarkJob gives the processor time and store calls of a job on 8 nodes of 4 slots and 4 s an item, in virtual
// time, from the upload to the end. Calls on nodes/ are lease renewals and reads of leases.
func BenchmarkJob(b *testing.B) {
	for _, items := range []int{20, 1360, 20_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			figures := map[string]float64{}
			for b.Loop() {
				inBubble(func(*testing.T) { jobFigures(figures, items) })
			}
			for name, v := range figures {
				b.ReportMetric(v, name)
			}
		})
	}
}

func jobFigures(figures map[string]float64, items int) {
	s := newCountedStore(memstore.New())
	var fleet []*batchNode
	for i := range 8 {
		fleet = append(fleet, startBatch(s, i, slowInvoker{answer: 4 * time.Second}, 4))
	}
	time.Sleep(time.Minute)
	used := cpu()
	reads, writes, _ := s.totals("")
	_, renewals, _ := s.totals("nodes")
	_, open, openSize := s.totals("open")
	job := fleet[0].submit(items)
	polls := 0
	for status := ""; status != "completed"; {
		time.Sleep(5 * time.Second)
		// A caller's reads are not the system's.
		before, _, _ := s.totals("")
		status = fleet[0].do(httptest.NewRequest(http.MethodGet, "/v1/batches/"+job, nil))["status"].(string)
		after, _, _ := s.totals("")
		polls += after - before
	}
	reads2, writes2, _ := s.totals("")
	_, renewals2, _ := s.totals("nodes")
	_, open2, openSize2 := s.totals("open")
	figures["cpu-ns/item"] = float64((cpu() - used).Nanoseconds()) / float64(items)
	figures["reads/job"] = float64(reads2 - reads - polls)
	figures["writes/job"] = float64(writes2 - writes - (renewals2 - renewals))
	figures["open-writes/job"] = float64(open2 - open)
	figures["open-B/job"] = float64(openSize2 - openSize)
	for _, n := range fleet {
		n.close()
	}
}

// watchSignal calls watched when a watch begins; a node watches open jobs after it has listed them.
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

// BenchmarkOpenJobs gives the memory of a node for each open job of the fleet that it follows, and the processor time
// to list them when it starts.
func BenchmarkOpenJobs(b *testing.B) {
	for _, n := range []int{1000, 4000, 11_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := memstore.New()
				for i := range n {
					sum := jobstate.Summary{ID: jobstore.NewID(), Institution: fmt.Sprintf("institution-%03d", i%400), Caller: "tagger", InputFile: "file-" + fmt.Sprint(i),
						Models: []string{"model-9"}, Items: 1360, Parts: 8, Created: time.Now(), Deadline: time.Now().Add(24 * time.Hour)}
					value, err := json.Marshal(sum)
					must(err == nil, err)
					_, err = s.Put(context.Background(), jobstore.OpenPrefix+sum.ID, value, store.CreateOnly)
					must(err == nil, err)
				}
				var node *batchNode
				used := cpu()
				b.ReportMetric(retained(func() any {
					listed := make(chan struct{})
					node = startBatch(&watchSignal{s, sync.OnceFunc(func() { close(listed) })}, 0, slowInvoker{}, 0)
					<-listed
					return node
				})/float64(n), "B/job")
				used = cpu() - used
				b.ReportMetric(float64(used.Nanoseconds())/float64(n), "cpu-ns/job")
				b.ReportMetric(used.Seconds(), "cpu-s/start")
				node.close()
			}
		})
	}
}

// BenchmarkHeldParts gives the memory of a part owner for each item of its parts, while its slots run.
func BenchmarkHeldParts(b *testing.B) {
	for _, items := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			for b.Loop() {
				s := memstore.New()
				node := startBatch(s, 0, slowInvoker{answer: time.Hour}, 0)
				job := node.submit(items)
				var held float64
				stop := make(chan struct{})
				state := retained(func() any {
					ctx, end := context.WithCancel(context.Background())
					go func() { <-stop; end() }()
					for range 64 {
						go batchtest.Fill(ctx, node, configOf(1, 1).Register.Upstreams[0])
					}
					time.Sleep(5 * time.Second)
					return node
				})
				page, err := s.List(context.Background(), "parts/"+job+"/", "", 1000)
				must(err == nil, err)
				for _, o := range page.Objects {
					if p, err := jobstore.DecodePart(o.Value); err == nil && p.Holder != nil {
						held++
					}
				}
				must(held > 0, "no part is held")
				b.ReportMetric(held, "parts")
				b.ReportMetric(state/held, "B/part")
				close(stop)
				node.stop()
			}
		})
	}
}
