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
	"trefoilplank.example/pkg/serving"
)

// batchNode is a batch controller before two engines.
type batchNode struct {
	*batch.Controller
	engines []api.Upstream
	// standins are the engines in the same order.
	standins []*Engine
	exports  *recordedExports
}

// recordedExports records the runs whose states engines gave out. It drops the deadline of an export, which a busy
// machine can miss every time; the deadline has a test of its own in pkg/controller/batch.
type recordedExports struct {
	serving.Resumer
	mu   sync.Mutex
	runs map[string]bool
}

func (c *recordedExports) Export(ctx context.Context, u api.Upstream, requestID string) ([]byte, error) {
	state, err := c.Resumer.Export(context.WithoutCancel(ctx), u, requestID)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runs[requestID] = true
	}
	return state, err
}

// count returns the number of runs; one that was exported twice is one run.
func (c *recordedExports) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

func startBatch(t *testing.T, resumes bool) *batchNode {
	t.Helper()
	n := &batchNode{}
	for i := range 2 {
		e, url := startEngine(t, Options{}, "")
		n.standins = append(n.standins, e)
		n.engines = append(n.engines, api.Upstream{Name: fmt.Sprint("e", i), Kind: api.UpstreamEngine,
			Address: strings.TrimPrefix(url, "http://"), Models: []string{"m"}})
	}
	board := blackboard.New()
	board.Config.Set(api.Config{Version: 1, Register: api.Register{Upstreams: n.engines, Institutions: []api.Institution{{Name: "agencia"}}},
		Rules: api.Rules{Institutions: []api.InstitutionRules{{Institution: "agencia", Share: 1}}}})
	board.Lease.Set(blackboard.Lease{Number: 1, Deadline: time.Now().Add(time.Hour)})
	s := memstore.New()
	_, err := s.Put(t.Context(), "nodes/a", []byte(`{"number":1}`), store.AnyRevision)
	assert.NilError(t, err)
	client := engine.New(service.New())
	o := batch.Options{Node: "a", Store: s, Board: board, Invoker: client}
	n.exports = &recordedExports{Resumer: client, runs: map[string]bool{}}
	if resumes {
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

// call makes a call of the caller interface.
func (n *batchNode) call(t *testing.T, method, path, body string) []byte {
	t.Helper()
	return n.do(t, httptest.NewRequest(method, path, strings.NewReader(body)))
}

func (n *batchNode) do(t *testing.T, r *http.Request) []byte {
	t.Helper()
	id := serving.Identity{Institution: "agencia", Caller: "tagger", Grants: api.Grants{Models: []string{"m"}, Batch: true}}
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), "a-1")))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	return w.Body.Bytes()
}

func (n *batchNode) submit(t *testing.T, endpoint, content string) string {
	t.Helper()
	var made struct{ ID string }
	assert.NilError(t, json.Unmarshal(n.do(t, batchtest.Upload("batch", content, "")), &made))
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"24h"}`, made.ID, endpoint)
	assert.NilError(t, json.Unmarshal(n.call(t, http.MethodPost, "/v1/batches", body), &made))
	return made.ID
}

// run runs items until the job has ended and returns the fields of its answers by custom_id, and the number of
// preemptions. The engines take turns, so that each item ends on the second one if preempts is set: a run on the first
// engine is then preempted once it is resumable.
func (n *batchNode) run(t *testing.T, job string, preempts bool) (map[string]map[string]json.RawMessage, int) {
	t.Helper()
	var status struct {
		Status string `json:"status"`
		Output string `json:"output_file_id"`
	}
	preempted := 0
	for turn := 0; status.Status != "completed"; {
		assert.NilError(t, json.Unmarshal(n.call(t, http.MethodGet, "/v1/batches/"+job, ""), &status))
		engine, first := n.engines[turn%2], turn%2 == 0
		r, ok := n.Next(engine)
		if !ok {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		turn++
		ctx, cancel := context.WithCancelCause(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.Run(ctx, &serving.Slot{Upstream: engine})
		}()
		for running := preempts && first; running; {
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
		var o struct {
			CustomID string `json:"custom_id"`
			Response struct {
				RequestID string                     `json:"request_id"`
				Body      map[string]json.RawMessage `json:"body"`
			} `json:"response"`
		}
		assert.NilError(t, json.Unmarshal(l, &o))
		assert.Equal(t, string(o.Response.Body["id"]), fmt.Sprintf("%q", o.Response.RequestID))
		// The id differs between runs and the time may.
		delete(o.Response.Body, "id")
		delete(o.Response.Body, "created")
		_, twice := answers[o.CustomID]
		assert.Assert(t, !twice, o.CustomID)
		answers[o.CustomID] = o.Response.Body
	}
	return answers, preempted
}

// moved counts the runs of the second engine that the first one began.
func (n *batchNode) moved() int {
	first := map[string]bool{}
	for _, row := range n.standins[0].executions.Rows() {
		first[row.RequestID] = true
	}
	moved := 0
	for _, row := range n.standins[1].executions.Rows() {
		if first[row.RequestID] {
			moved++
		}
	}
	return moved
}

// Guards against recorded answers of streamed and of moved runs that differ from those of unstreamed calls.
func TestBatchAnswersEqualUnstreamedOnes(t *testing.T) {
	for endpoint, prompt := range map[string]string{
		"/v1/chat/completions": `"messages":[{"role":"user","content":"item %d <b>"}]`, "/v1/completions": `"prompt":"item %d <b>"`,
	} {
		var lines strings.Builder
		const items = 6
		for i := range items {
			fmt.Fprintf(&lines, `{"custom_id":"i-%d","method":"POST","url":%q,"body":{"model":"m","max_tokens":40,"ignore_eos":true,`+prompt+"}}\n", i, endpoint, i)
		}
		plain := startBatch(t, false)
		want, _ := plain.run(t, plain.submit(t, endpoint, lines.String()), false)
		assert.Equal(t, len(want), items)
		for _, preempts := range []bool{false, true} {
			n := startBatch(t, true)
			got, preempted := n.run(t, n.submit(t, endpoint, lines.String()), preempts)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, preempted > 0, preempts)
			assert.Equal(t, n.moved(), n.exports.count())
			assert.Equal(t, n.moved() > 0, preempts)
		}
	}
}
