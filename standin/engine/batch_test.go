package engine

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

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/engine"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/batch"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/serving"
)

// batchNode is a node's batch controller with two stand-in engines as upstreams.
type batchNode struct {
	*batch.Controller
	upstreams []api.Upstream
	// engines holds the stand-ins behind upstreams, in the same order.
	engines []*Engine
	exports *exportRecorder
}

// exportRecorder records the runs whose state was exported. It removes the deadline of an export, which every export can
// miss on a busy machine; the deadline has its own test in pkg/controller/batch.
type exportRecorder struct {
	serving.Resumer
	mu         sync.Mutex
	requestIDs map[string]bool
}

func (c *exportRecorder) Export(ctx context.Context, u api.Upstream, requestID string) ([]byte, error) {
	state, err := c.Resumer.Export(context.WithoutCancel(ctx), u, requestID)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.requestIDs[requestID] = true
	}
	return state, err
}

// runCount returns the number of exported runs; a run that was exported twice counts once.
func (c *exportRecorder) runCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requestIDs)
}

// startBatchNode runs a batch controller. withResumer lets it move runs between engines by export and import.
func startBatchNode(t *testing.T, withResumer bool) *batchNode {
	t.Helper()
	n := &batchNode{}
	for i := range 2 {
		e, url := startEngine(t, Options{}, "")
		n.engines = append(n.engines, e)
		n.upstreams = append(n.upstreams, api.Upstream{Name: fmt.Sprint("e", i), Kind: api.UpstreamEngine,
			Address: strings.TrimPrefix(url, "http://"), Models: []string{"m"}})
	}
	board := blackboard.New()
	board.Config.Set(api.Config{Version: 1, Register: api.Register{Upstreams: n.upstreams, Institutions: []api.Institution{{Name: "agencia"}}},
		Rules: api.Rules{Institutions: []api.InstitutionRules{{Institution: "agencia", Share: 1}}}})
	board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
	s := memstore.New()
	_, err := s.Put(t.Context(), "nodes/a", []byte(`{"number":1}`), store.AnyRevision)
	assert.NilError(t, err)
	client := engine.New(service.New(uplink.New(uplink.Options{})))
	o := batch.Options{Node: "a", Store: s, Board: board, Invoker: client}
	n.exports = &exportRecorder{Resumer: client, requestIDs: map[string]bool{}}
	if withResumer {
		o.Resumer = n.exports
	}
	n.Controller, err = batch.New(o)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() { stop(); assert.NilError(t, <-ended) })
	return n
}

// call makes a call of the caller interface and returns the body of its 200 answer.
func (n *batchNode) call(t *testing.T, method, path, body string) []byte {
	t.Helper()
	return n.serve(t, httptest.NewRequest(method, path, strings.NewReader(body)))
}

// serve serves r for a caller of the institution and returns the body of the 200 answer.
func (n *batchNode) serve(t *testing.T, r *http.Request) []byte {
	t.Helper()
	id := serving.Identity{Institution: "agencia", Caller: "tagger", Grants: api.Grants{Models: []string{"m"}, Batch: true}}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), "a-1")))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	return w.Body.Bytes()
}

// submit uploads an input file, creates a batch job on it and returns the job's ID.
func (n *batchNode) submit(t *testing.T, endpoint, content string) string {
	t.Helper()
	var created struct{ ID string }
	assert.NilError(t, json.Unmarshal(n.serve(t, batchtest.Upload("batch", content, "")), &created))
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, created.ID, endpoint)
	assert.NilError(t, json.Unmarshal(n.call(t, http.MethodPost, "/v1/batches", body), &created))
	return created.ID
}

// runJob runs items until the job has completed and returns the fields of its answers by custom_id, and the number of
// preemptions. The two engines are used alternately. If preempts is set, a run on the first engine is preempted once it is
// resumable and has 6 tokens, so that the second engine continues it.
func (n *batchNode) runJob(t *testing.T, job string, preempts bool) (map[string]map[string]json.RawMessage, int) {
	t.Helper()
	var status struct {
		Status string `json:"status"`
		Output string `json:"output_file_id"`
	}
	preempted := 0
	for turn := 0; status.Status != "completed"; {
		assert.NilError(t, json.Unmarshal(n.call(t, http.MethodGet, "/v1/batches/"+job, ""), &status))
		upstream, onFirst := n.upstreams[turn%2], turn%2 == 0
		r, ok := n.Next(upstream)
		if !ok {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		turn++
		ctx, cancel := context.WithCancelCause(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx, &serving.Slot{Upstream: upstream})
		}()
		for running := preempts && onFirst; running; {
			select {
			case <-ended:
				running = false
			case <-time.After(time.Millisecond):
			}
			if tokens, resumable := r.Progress(); running && resumable && tokens >= 6 {
				preempted++
				cancel(serving.ErrPreempted)
				running = false
			}
		}
		<-ended
		cancel(nil)
	}
	answers := map[string]map[string]json.RawMessage{}
	for l := range bytes.Lines(n.call(t, http.MethodGet, "/v1/files/"+status.Output+"/content", "")) {
		var line struct {
			CustomID string `json:"custom_id"`
			Response struct {
				RequestID string                     `json:"request_id"`
				Body      map[string]json.RawMessage `json:"body"`
			} `json:"response"`
		}
		assert.NilError(t, json.Unmarshal(l, &line))
		assert.Equal(t, string(line.Response.Body["id"]), fmt.Sprintf("%q", line.Response.RequestID))
		// The ID differs between runs, and the time of creation may.
		delete(line.Response.Body, "id")
		delete(line.Response.Body, "created")
		_, duplicate := answers[line.CustomID]
		assert.Assert(t, !duplicate, line.CustomID)
		answers[line.CustomID] = line.Response.Body
	}
	return answers, preempted
}

// movedRuns returns the number of runs on the second engine that were started on the first one.
func (n *batchNode) movedRuns() int {
	first := map[string]bool{}
	for _, row := range n.engines[0].executions.Rows() {
		first[row.RequestID] = true
	}
	moved := 0
	for _, row := range n.engines[1].executions.Rows() {
		if first[row.RequestID] {
			moved++
		}
	}
	return moved
}

// Guards against batch results that differ from the answers to unstreamed calls. A batch run with a resumer is streamed and
// its answer is assembled from the events; a preempted run is exported and continued on another engine.
func TestBatchAnswersEqualUnstreamedOnes(t *testing.T) {
	for endpoint, prompt := range map[string]string{
		"/v1/chat/completions": `"messages":[{"role":"user","content":"item %d <b>"}]`, "/v1/completions": `"prompt":"item %d <b>"`,
	} {
		var lines strings.Builder
		const items = 6
		for i := range items {
			fmt.Fprintf(&lines, `{"custom_id":"i-%d","method":"POST","url":%q,"body":{"model":"m","max_tokens":40,"ignore_eos":true,`+prompt+"}}\n", i, endpoint, i)
		}
		unstreamed := startBatchNode(t, false)
		want, _ := unstreamed.runJob(t, unstreamed.submit(t, endpoint, lines.String()), false)
		assert.Equal(t, len(want), items)
		for _, preempts := range []bool{false, true} {
			n := startBatchNode(t, true)
			got, preempted := n.runJob(t, n.submit(t, endpoint, lines.String()), preempts)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, preempted > 0, preempts)
			assert.Equal(t, n.movedRuns(), n.exports.runCount())
			assert.Equal(t, n.movedRuns() > 0, preempts)
		}
	}
}
