package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/batch/faultstore"
	"trefoilplank.example/pkg/serving"
)

var testIdentity = serving.Identity{Institution: "board", Caller: "dossiers",
	Grants: api.Grants{Models: []string{"summary"}, Services: []string{"status"}, Batch: true}}

func serve(h http.Handler, id serving.Identity, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), "a-1")))
	return w
}

func chatLine(id string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"summary","messages":[]}}`+"\n", id)
}

func newBatchRequest(file, key, metadata string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/batches", strings.NewReader(
		fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h","metadata":{"x":%q}}`, file, metadata)))
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r
}

type responseBody struct {
	ID    string
	Error struct {
		Code, Message, Outcome, RequestID string
		Findings                          []struct {
			Line    int
			Message string
		}
	}
	Data    []struct{ ID string }
	HasMore bool `json:"has_more"`
}

func decodeBody(t *testing.T, w *httptest.ResponseRecorder, status int) responseBody {
	t.Helper()
	assert.Equal(t, w.Code, status, w.Body.String())
	var a responseBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &a))
	return a
}

// Guards against storing a part of a file that has invalid lines, and against reporting only the first invalid line.
func TestAllInvalidLinesAreReported(t *testing.T) {
	s := &faultstore.Store{Store: memstore.New()}
	h := New(Options{Store: s})
	long := `{"custom_id":"long","method":"POST","url":"/v1/completions","body":{"model":"summary","prompt":"` + strings.Repeat("x", 1<<20) + `"}}` + "\n"
	content := chatLine("1") + "no JSON\n" + chatLine("3") + chatLine("1") + "\n" + long +
		`{"custom_id":"7","method":"POST","url":"/v1/embeddings","body":{}}` + "\n" +
		`{"custom_id":"8","method":"POST","url":"/v1/services/ledger/charge","body":{}}` + "\n" +
		`{"custom_id":"9","method":"GET","url":"/v1/services/status/case/1"}` + "\n" +
		strings.Replace(chatLine("10"), "summary", "rights", 1) + strings.Replace(chatLine("11"), "POST", "GET", 1)
	a := decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", content, "")), http.StatusBadRequest)
	var lines []int
	for _, f := range a.Error.Findings {
		lines = append(lines, f.Line)
	}
	assert.DeepEqual(t, lines, []int{2, 4, 5, 6, 7, 8, 10, 11})
	assert.Equal(t, a.Error.Outcome, "not-run")
	page, err := s.List(context.Background(), "", "", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Objects), 0, "%v", page.Objects)
}

// Guards against a file whose content differs between upload and download, against access to files of another
// institution, and against uploads and batches without the needed grants.
func TestFileRoundTrip(t *testing.T) {
	h := New(Options{Store: memstore.New()})
	var content strings.Builder
	for i := range 2500 {
		content.WriteString(chatLine(fmt.Sprint(i)))
	}
	id := decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", content.String(), "")), http.StatusOK).ID
	get := func(as serving.Identity, path string) *httptest.ResponseRecorder {
		return serve(h, as, httptest.NewRequest(http.MethodGet, path, nil))
	}
	assert.Equal(t, get(testIdentity, "/v1/files/"+id+"/content").Body.String(), content.String())
	other := testIdentity
	other.Institution = "agencia"
	decodeBody(t, get(other, "/v1/files/"+id), http.StatusNotFound)
	decodeBody(t, get(other, "/v1/files/"+id+"/content"), http.StatusNotFound)
	decodeBody(t, serve(h, other, newBatchRequest(id, "", "")), http.StatusNotFound)
	other = testIdentity
	other.Grants.Models = nil
	decodeBody(t, serve(h, other, newBatchRequest(id, "", "")), http.StatusForbidden)
	other.Grants.Batch = false
	decodeBody(t, serve(h, other, batchtest.Upload("batch", content.String(), "")), http.StatusForbidden)
	decodeBody(t, serve(h, testIdentity, batchtest.Upload("fine-tune", chatLine("1"), "")), http.StatusBadRequest)
	decodeBody(t, get(testIdentity, "/v1/batches/batch_0"), http.StatusNotFound)
}

// Guards against error messages for a malformed batch request that name Go types or don't say what to correct.
func TestMalformedBatchBodies(t *testing.T) {
	h := New(Options{Store: memstore.New()})
	for body, want := range map[string]string{
		"": "the body is empty", "[]": "the body is not a JSON object but a value of type array", "{": "the body is not JSON",
		`{"input_file_id":5}`: "input_file_id must not be of type number",
	} {
		w := serve(h, testIdentity, httptest.NewRequest(http.MethodPost, "/v1/batches", strings.NewReader(body)))
		assert.Equal(t, w.Code, http.StatusBadRequest)
		assert.Assert(t, strings.Contains(w.Body.String(), `"message":"`+want), w.Body.String())
	}
}

// Guards against a listing that skips or repeats jobs, or is not newest first.
func TestListBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Options{Store: memstore.New()})
		file := decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", chatLine("1"), "")), http.StatusOK).ID
		var want, got []string
		for range 7 {
			want = append([]string{decodeBody(t, serve(h, testIdentity, newBatchRequest(file, "", "")), http.StatusOK).ID}, want...)
		}
		for after, more := "", true; more; after = got[len(got)-1] {
			a := decodeBody(t, serve(h, testIdentity, httptest.NewRequest(http.MethodGet, "/v1/batches?limit=3&after="+after, nil)), http.StatusOK)
			more = a.HasMore
			for _, d := range a.Data {
				got = append(got, d.ID)
			}
		}
		assert.Equal(t, len(got), 7)
		seen := map[string]bool{}
		for i, id := range got {
			assert.Assert(t, !seen[id])
			seen[id] = true
			// Jobs created in the same millisecond have no order; the first 16 bytes of an id end with its time.
			assert.Assert(t, i == 0 || id[:16] <= got[i-1][:16])
		}
	})
}

// Guards against a second file or job when the same request is sent several times with one idempotency key, concurrently
// to two nodes and with store faults. Also guards against accepting another body under the same key.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := map[int]faultstore.Fault{}
		for range rapid.IntRange(0, 6).Draw(rt, "faults") {
			first := rapid.IntRange(1, 60).Draw(rt, "call")
			f := rapid.SampledFrom([]faultstore.Fault{faultstore.Down, faultstore.LoseAnswer, faultstore.LoseRequest}).Draw(rt, "fault")
			for n := range rapid.IntRange(1, 8).Draw(rt, "length") {
				faults[first+n] = f
			}
		}
		resends := rapid.IntRange(2, 4).Draw(rt, "resends")
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New()
			var mu sync.Mutex
			calls := 0
			s := &faultstore.Store{Store: mem, Before: func(faultstore.Op) faultstore.Fault {
				mu.Lock()
				defer mu.Unlock()
				calls++
				return faults[calls]
			}}
			nodes := []*Handler{New(Options{Store: s}), New(Options{Store: s})}
			// send sends a request concurrently to both nodes, repeats each call until it succeeds, and returns the ids of
			// all answers.
			send := func(request func() *http.Request) map[string]bool {
				ids := map[string]bool{}
				var group sync.WaitGroup
				for n := range resends {
					group.Go(func() {
						for range 30 {
							w := serve(nodes[n%2], testIdentity, request())
							if w.Code == http.StatusOK {
								a := decodeBody(t, w, http.StatusOK)
								mu.Lock()
								defer mu.Unlock()
								ids[a.ID] = true
								return
							}
							assert.Check(t, w.Code == http.StatusServiceUnavailable, w.Body.String())
						}
						assert.Check(t, false, "no success in 30 tries")
					})
				}
				group.Wait()
				return ids
			}
			files := send(func() *http.Request { return batchtest.Upload("batch", chatLine("1"), "key") })
			assert.Equal(t, len(files), 1, "%v", files)
			var file string
			for file = range files {
			}
			jobs := send(func() *http.Request { return newBatchRequest(file, "key", "same") })
			assert.Equal(t, len(jobs), 1, "%v", jobs)
			clear(faults)
			for _, h := range nodes {
				decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", chatLine("2"), "key")), http.StatusConflict)
				decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", "no JSON", "key")), http.StatusConflict)
				decodeBody(t, serve(h, testIdentity, newBatchRequest(file, "key", "other")), http.StatusConflict)
				list := decodeBody(t, serve(h, testIdentity, httptest.NewRequest(http.MethodGet, "/v1/batches", nil)), http.StatusOK)
				assert.Equal(t, len(list.Data), 1)
				assert.Equal(t, serve(h, testIdentity, httptest.NewRequest(http.MethodGet, "/v1/files/"+file+"/content", nil)).Body.String(),
					chatLine("1"))
			}
		})
	})
}

// Guards against the outcome `not-run` in the answer to a request that created a job, when a store call fails or its
// answer is lost.
func TestOutcomeOfLostAnswers(t *testing.T) {
	for first := 1; first <= 12; first++ {
		for _, fault := range []faultstore.Fault{faultstore.Down, faultstore.LoseAnswer, faultstore.LoseRequest} {
			synctest.Test(t, func(t *testing.T) {
				calls, active := 0, false
				s := &faultstore.Store{Store: memstore.New(), Before: func(faultstore.Op) faultstore.Fault {
					if !active {
						return faultstore.None
					}
					if calls++; calls < first {
						return faultstore.None
					}
					return fault
				}}
				h := New(Options{Store: s})
				file := decodeBody(t, serve(h, testIdentity, batchtest.Upload("batch", chatLine("1"), "")), http.StatusOK).ID
				active = true
				w := serve(h, testIdentity, newBatchRequest(file, "", ""))
				active = false
				list := decodeBody(t, serve(h, testIdentity, httptest.NewRequest(http.MethodGet, "/v1/batches", nil)), http.StatusOK)
				switch {
				case w.Code == http.StatusOK:
					assert.Equal(t, len(list.Data), 1)
				default:
					assert.Equal(t, w.Code, http.StatusServiceUnavailable)
					assert.Equal(t, w.Header().Get("Retry-After"), "5", "a temporary refusal must have a retry time")
					assert.Assert(t, w.Header().Get(api.HeaderOutcome) == "unknown" || len(list.Data) == 0, "fault %d from call %d", fault, first)
				}
			})
		}
	}
}
