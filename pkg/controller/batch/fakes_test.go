package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/serving"
)

// fakeInvoker answers calls in memory and counts them by custom_id.
type fakeInvoker struct {
	mu        sync.Mutex
	runs      map[string]int
	answer    func(ctx context.Context, c serving.Call, run int) (*serving.Result, error)
	cancelled []string
}

func (f *fakeInvoker) Do(ctx context.Context, _ api.Upstream, c serving.Call) (*serving.Result, error) {
	f.mu.Lock()
	if f.runs == nil {
		f.runs = map[string]int{}
	}
	f.runs[c.CustomID]++
	n := f.runs[c.CustomID]
	f.mu.Unlock()
	if f.answer != nil {
		return f.answer(ctx, c, n)
	}
	return &serving.Result{Status: http.StatusOK, Body: []byte(`{"text":"` + c.CustomID + `"}`)}, nil
}

func (f *fakeInvoker) Stream(context.Context, api.Upstream, serving.Call, func(serving.StreamEvent) error) (*serving.Result, error) {
	return nil, serving.ErrNotStarted
}

func (f *fakeInvoker) Cancel(_ context.Context, _ api.Upstream, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, id)
	return nil
}

func (f *fakeInvoker) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// total returns the number of items that ran.
func (f *fakeInvoker) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

var testConfig = api.Config{
	Version: 1,
	Register: api.Register{
		Institutions: []api.Institution{{Name: "agencia"}},
		Upstreams:    []api.Upstream{testUpstream},
	},
	Rules: api.Rules{Institutions: []api.InstitutionRules{{Institution: "agencia", Share: 1}}},
}

var testUpstream = api.Upstream{Name: "engine-1", Kind: api.UpstreamEngine, Models: []string{"rights"}}

var testIdentity = serving.Identity{Institution: "agencia", Caller: "tagger",
	Grants: api.Grants{Models: []string{"rights"}, Services: []string{"ledger"}, Batch: true}}

// testNode is a controller with a fake admission that fills the slots of one upstream.
type testNode struct {
	*Controller
	board *blackboard.Board
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// startNode starts a node whose lease is valid for an hour. slots is the number of slots of its upstream; change, which
// may be nil, changes the options.
func startNode(t *testing.T, s store.Store, name string, invoker serving.Invoker, slots int, change func(*Options)) *testNode {
	t.Helper()
	board := blackboard.New()
	board.Config.Set(testConfig)
	n := &testNode{board: board}
	board.Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
	o := Options{Node: name, Store: s, Board: board, Invoker: invoker}
	if change != nil {
		change(&o)
	}
	var err error
	n.Controller, err = New(o)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.done.Go(func() { assert.Check(t, n.Run(ctx)) })
	n.done.Go(func() {
		// The lease record is renewed as long as the node reaches the store.
		for renewal := int64(1); ctx.Err() == nil; renewal++ {
			r := lease.Record{Name: name, Token: 1, Renewal: renewal}
			_, _ = s.Put(ctx, lease.Prefix+name, r.Encode(), store.AnyRevision)
			sleep(ctx, lease.Default.Renew)
		}
	})
	for range slots {
		n.done.Go(func() { batchtest.FillSlot(ctx, n, testUpstream) })
	}
	return n
}

// close stops the node gracefully.
func (n *testNode) close() {
	n.stop()
	n.done.Wait()
}

// serve sends a request to a node's handler as the test caller.
func (n *testNode) serve(r *http.Request) *httptest.ResponseRecorder {
	ctx := serving.WithRequestID(serving.WithIdentity(r.Context(), testIdentity), n.Node+"-1")
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(ctx))
	return w
}

func chatLine(id, extra string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"rights","messages":[{"role":"user","content":%q}]}%s}`, id, "text of "+id, extra)
}

func chatFile(items int) string {
	var b strings.Builder
	for i := range items {
		b.WriteString(chatLine(fmt.Sprint("item-", i), "") + "\n")
	}
	return b.String()
}

// object has the fields of a file or batch object that the tests use.
type object struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct{ Total, Completed, Failed int }
	Counts        struct{ Total, Completed, Failed int } `json:"request_counts"`
}

func decode(t *testing.T, w *httptest.ResponseRecorder, status int) object {
	t.Helper()
	assert.Equal(t, w.Code, status, w.Body.String())
	var o object
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &o))
	return o
}

func (n *testNode) upload(t *testing.T, content string) string {
	t.Helper()
	return decode(t, n.serve(batchtest.Upload("batch", content, "")), http.StatusOK).ID
}

func batchRequest(file, key, window string) *http.Request {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`, file, window)
	r := httptest.NewRequest(http.MethodPost, "/v1/batches", strings.NewReader(body))
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r
}

func (n *testNode) submit(t *testing.T, file string) string {
	t.Helper()
	return decode(t, n.serve(batchRequest(file, "", "24h")), http.StatusOK).ID
}

func (n *testNode) getBatch(t *testing.T, job string) object {
	t.Helper()
	return decode(t, n.serve(httptest.NewRequest(http.MethodGet, "/v1/batches/"+job, nil)), http.StatusOK)
}

// await polls the job until it is final, for at most limit.
func (n *testNode) await(t *testing.T, job string, limit time.Duration) object {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		w := n.serve(httptest.NewRequest(http.MethodGet, "/v1/batches/"+job, nil))
		if w.Code != http.StatusServiceUnavailable {
			o := decode(t, w, http.StatusOK)
			switch o.Status {
			case "completed", "cancelled", "expired", "failed":
				return o
			}
		}
		if time.Now().After(end) {
			t.Fatalf("job is not final after %v: %s", limit, w.Body.String())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// outputs returns the lines of an output or error file by custom_id and fails the test on a repeated custom_id.
func (n *testNode) outputs(t *testing.T, file string) map[string]line.Output {
	t.Helper()
	lines := map[string]line.Output{}
	if file == "" {
		return lines
	}
	w := n.serve(httptest.NewRequest(http.MethodGet, "/v1/files/"+file+"/content", nil))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	d := json.NewDecoder(w.Body)
	for {
		var o line.Output
		err := d.Decode(&o)
		if err == io.EOF {
			return lines
		}
		assert.NilError(t, err)
		_, twice := lines[o.CustomID]
		assert.Assert(t, !twice, "item %s has two results", o.CustomID)
		lines[o.CustomID] = o
	}
}
