package engine

import (
	"bufio"
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

	"trefoilplank.example/standin/faults"
)

// startEngine serves an engine with the model m, 1 ms per token and the given faults, if any.
func startEngine(t *testing.T, o Options, faultsJSON string) (*Engine, string) {
	t.Helper()
	o.Models = map[string]string{"m": "v1"}
	o.TokenTime = time.Millisecond
	e := New(o)
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.Close(); e.Close() })
	if faultsJSON != "" {
		r, err := http.Post(server.URL+"/standin/faults", "application/json", strings.NewReader(faultsJSON))
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.NilError(t, r.Body.Close())
	}
	return e, server.URL
}

// postWithID posts a body with a request ID.
func postWithID(ctx context.Context, url, id, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(r)
}

// promptBody returns a text completion request; extraFields are appended as JSON.
func promptBody(text string, extraFields string) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q%s}`, text, extraFields)
}

// readAll returns the body of a response whose error is nil.
func readAll(t *testing.T, r *http.Response, err error) string {
	t.Helper()
	assert.NilError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return string(b)
}

// completionText returns the text of an unstreamed text completion.
func completionText(t *testing.T, body string) string {
	t.Helper()
	var a struct {
		Choices []struct{ Text string }
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &a), body)
	return a.Choices[0].Text
}

// Guards against text that differs between runs of the same prompt, or is equal for different prompts. Tests compare texts
// to find answers that were swapped between requests or cut.
func TestTextIsDeterministicAndDependsOnThePrompt(t *testing.T) {
	_, url := startEngine(t, Options{}, "")
	var texts []string
	for i, p := range []string{"a", "a", "b"} {
		r, err := postWithID(t.Context(), url+"/v1/completions", fmt.Sprint("r", i), promptBody(p, ""))
		texts = append(texts, completionText(t, readAll(t, r, err)))
	}
	assert.Equal(t, texts[0], texts[1])
	assert.Assert(t, texts[0] != texts[2])
}

// Guards against a swap_answers fault that exchanges the bodies of two answers but not the request IDs in their headers.
func TestSwapAnswersExchangesBodyAndID(t *testing.T) {
	_, url := startEngine(t, Options{}, `{"swap_answers":true}`)
	ids := make([]string, 2)
	var wg sync.WaitGroup
	for i := range ids {
		wg.Go(func() {
			r, err := postWithID(context.Background(), url+"/v1/completions", fmt.Sprint("r", i), promptBody(fmt.Sprint(i), ""))
			if err == nil {
				ids[i] = r.Header.Get("X-Request-Id")
				_ = r.Body.Close()
			}
		})
	}
	wg.Wait()
	assert.DeepEqual(t, ids, []string{"r1", "r0"})
}

// Guards against a stream that, after its connection was cut, can't be resumed at the first token not received, or repeats
// or leaves out tokens when it is resumed.
func TestCutStreamResumesAtOffset(t *testing.T) {
	_, url := startEngine(t, Options{}, `{"cut_stream_after_tokens":5}`)
	r, err := postWithID(t.Context(), url+"/v1/completions", "r0", promptBody("a", `,"stream":true,"max_tokens":9,"ignore_eos":true`))
	assert.NilError(t, err)
	events := 0
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		if strings.HasPrefix(s.Text(), "data: ") {
			events++
		}
	}
	_ = r.Body.Close()
	assert.Equal(t, events, 5)
	r, err = http.Get(url + "/v1/streams/r0?offset=5")
	rest := readAll(t, r, err)
	assert.Equal(t, strings.Count(rest, "data: {"), 4)
	assert.Assert(t, strings.HasSuffix(rest, "data: [DONE]\n\n"))
}

// Guards against a crash that does not end the other runs, does not record them as crashed, or is not followed by a restart.
func TestCrashEndsAllRuns(t *testing.T) {
	e, url := startEngine(t, Options{}, `{"crash_on":"boom","restart_after_ms":100}`)
	otherRun := make(chan error, 1)
	go func() {
		r, err := postWithID(context.Background(), url+"/v1/completions", "r0", promptBody("a", `,"max_tokens":5000,"ignore_eos":true`))
		if err == nil {
			_, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
		}
		otherRun <- err
	}()
	for len(e.executions.Rows()) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := postWithID(t.Context(), url+"/v1/completions", "r1", promptBody("boom", ""))
	assert.Assert(t, err != nil)
	assert.Assert(t, <-otherRun != nil)
	for _, row := range e.executions.Rows() {
		assert.Assert(t, row.Crashed, row.RequestID)
	}
	time.Sleep(150 * time.Millisecond)
	r, err := postWithID(t.Context(), url+"/v1/completions", "r2", promptBody("a", ""))
	assert.Assert(t, completionText(t, readAll(t, r, err)) != "")
}

// Guards against a run that keeps its slot after the client of an unstreamed call has disconnected.
func TestDisconnectCancelsTheRun(t *testing.T) {
	e, url := startEngine(t, Options{}, "")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := postWithID(ctx, url+"/v1/completions", "r0", promptBody("a", `,"max_tokens":5000,"ignore_eos":true`))
	assert.Assert(t, err != nil)
	deadline := time.Now().Add(5 * time.Second)
	var rows []faults.Execution
	for time.Now().Before(deadline) {
		if rows = e.executions.Rows(); len(rows) == 1 && rows[0].Cancelled {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("the run was not cancelled within 5 s of the disconnect: %+v", rows)
}

// Guards against an engine that accepts an order with a stale fencing token although EnforceFencing is set, or refuses it
// although it is not.
func TestStaleOrderIsRefused(t *testing.T) {
	for _, enforce := range []bool{true, false} {
		_, url := startEngine(t, Options{EnforceFencing: enforce}, "")
		for _, token := range []int{7, 6} {
			r, err := http.Post(url+"/orders", "application/json", strings.NewReader(fmt.Sprintf(`{"fencing":%d,"order":"role","role":"serve"}`, token)))
			assert.NilError(t, err)
			refused := r.StatusCode == http.StatusConflict
			assert.Equal(t, refused, enforce && token == 6)
		}
	}
}
