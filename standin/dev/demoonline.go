package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// callKind is a kind of online call, named as in the printed table.
type callKind string

const (
	kindChat   callKind = "chat completion"
	kindStream callKind = "streamed completion"
	kindLookup callKind = "status lookup"
)

// callStats holds the results of the calls of one kind.
type callStats struct {
	// errors counts temporary refusals, and streams that end with an error event.
	calls, complete, errors int
	// times holds the durations of complete calls in microseconds.
	times *hdrhistogram.Histogram
	// firstViolation describes the first call that violated the guarantee, or is "".
	firstViolation string
}

// onlineStats collects the results of all online calls.
type onlineStats struct {
	mu    sync.Mutex
	kinds map[callKind]*callStats
	// firstTexts maps each prompt to the first answer to it, which every later one must equal.
	firstTexts map[string]string
}

func newOnlineStats() *onlineStats {
	return &onlineStats{kinds: map[callKind]*callStats{}, firstTexts: map[string]string{}}
}

// record records one call. isError is set for a call that ended with an error as the guarantee allows; otherwise violation
// describes how the call violated the guarantee, or is empty for a complete answer.
func (s *onlineStats) record(kind callKind, took time.Duration, isError bool, violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.kinds[kind]
	if stats == nil {
		stats = &callStats{times: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
		s.kinds[kind] = stats
	}
	stats.calls++
	switch {
	case isError:
		stats.errors++
	case violation == "":
		stats.complete++
		_ = stats.times.RecordValue(took.Microseconds())
	case stats.firstViolation == "":
		stats.firstViolation = violation
	}
}

// equalsFirstText reports whether text equals the first answer to the prompt, which it records if there was none.
func (s *onlineStats) equalsFirstText(prompt, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.firstTexts[prompt]
	if !ok {
		s.firstTexts[prompt] = text
		return true
	}
	return first == text
}

// tableRows returns one row for each kind of call, with its cells separated by tabs.
func (s *onlineStats) tableRows() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []string
	for kind, stats := range s.kinds {
		quantile := func(q float64) time.Duration { return time.Duration(stats.times.ValueAtQuantile(q)) * time.Microsecond }
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%s\t%s", kind, stats.calls, stats.complete, stats.errors,
			quantile(50).Round(100*time.Microsecond), quantile(99).Round(100*time.Microsecond), quantile(100).Round(100*time.Microsecond)))
	}
	sort.Strings(rows)
	return rows
}

// runOnline sends online calls of every institution until ctx ends.
func (d *demo) runOnline(ctx context.Context) {
	var wg sync.WaitGroup
	for i, institution := range d.fleet.standins.Register.Institutions {
		key := d.fleet.Ready.Keys[institution.Name]
		caller := d.fleet.standins.Register.Callers[i]
		for worker := range onlineCallers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					prompt := fmt.Sprintf("letter %d of %s", (worker+n)%7, institution.Name)
					d.callChat(key, caller.Grants.Models[0], prompt)
					d.callStream(key, caller.Grants.Models[0], prompt)
					d.callLookup(key, caller.Grants.Services[0], n)
				}
			})
		}
	}
	wg.Wait()
}

// callTimeout bounds one online call of the demo.
const callTimeout = 20 * time.Second

// timedCall calls the next node and returns the response and the time that it took.
func (d *demo) timedCall(key, method, path string, body string) (response, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	began := time.Now()
	resp, err := d.client.send(ctx, key, method, d.client.nextNode()+path, nil, []byte(body))
	return resp, time.Since(began), err
}

// isTemporaryRefusal reports whether a node refused a call with status 429 or 503, which the guarantee allows.
func isTemporaryRefusal(resp response) bool {
	return resp.status == http.StatusTooManyRequests || resp.status == http.StatusServiceUnavailable
}

// callChat makes an unstreamed chat completion call and records it.
func (d *demo) callChat(key, model, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":16,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	resp, took, err := d.timedCall(key, http.MethodPost, "/v1/chat/completions", body)
	var completion struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	violation := ""
	switch {
	case err != nil:
		violation = err.Error()
	case resp.status != http.StatusOK:
		violation = fmt.Sprintf("status %d: %s", resp.status, resp.body)
	case json.Unmarshal(resp.body, &completion) != nil || len(completion.Choices) != 1:
		violation = "answer is not a chat completion with exactly one choice"
	case !d.online.equalsFirstText(prompt, completion.Choices[0].Message.Content):
		violation = "answer differs from the first answer to the same prompt"
	}
	d.online.record(kindChat, took, isTemporaryRefusal(resp), violation)
}

// callStream makes a streamed chat completion call and records it.
func (d *demo) callStream(key, model, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":16,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	resp, took, err := d.timedCall(key, http.MethodPost, "/v1/chat/completions", body)
	violation := ""
	switch {
	case err != nil:
		violation = err.Error()
	case resp.status != http.StatusOK:
		violation = fmt.Sprintf("status %d: %s", resp.status, resp.body)
	default:
		text, done := joinStreamText(string(resp.body))
		if !done && strings.Contains(string(resp.body), "event: error") {
			d.online.record(kindStream, took, true, "")
			return
		}
		if !done {
			violation = "stream does not end with [DONE]: " + string(resp.body[max(0, len(resp.body)-300):])
		} else if !d.online.equalsFirstText(prompt, text) {
			violation = "streamed text differs from the first answer to the same prompt"
		}
	}
	d.online.record(kindStream, took, isTemporaryRefusal(resp), violation)
}

// joinStreamText returns the text of a stream of events and whether the stream ended with [DONE].
func joinStreamText(body string) (string, bool) {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
			return text.String(), false
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String(), false
}

// callLookup looks up record n of a service and records the call.
func (d *demo) callLookup(key, service string, n int) {
	path := fmt.Sprintf("/v1/services/%s/record/%d", service, n)
	resp, took, err := d.timedCall(key, http.MethodGet, path, "")
	var lookupAnswer struct{ Path string }
	violation := ""
	switch {
	case err != nil:
		violation = err.Error()
	case resp.status != http.StatusOK:
		violation = fmt.Sprintf("status %d: %s", resp.status, resp.body)
	case json.Unmarshal(resp.body, &lookupAnswer) != nil || lookupAnswer.Path != fmt.Sprintf("/record/%d", n):
		violation = "answer belongs to another request"
	}
	d.online.record(kindLookup, took, isTemporaryRefusal(resp), violation)
}

// onlineGuarantees checks the guarantees for online calls against the recorded results.
func (d *demo) onlineGuarantees() []guarantee {
	d.online.mu.Lock()
	defer d.online.mu.Unlock()
	g := guarantee{statement: "each caller got the complete answer to its own request, or an error", satisfied: true}
	calls, complete := 0, 0
	for kind, stats := range d.online.kinds {
		calls, complete = calls+stats.calls, complete+stats.complete
		if stats.firstViolation != "" {
			g.satisfied = false
			g.observed = fmt.Sprintf("%s: %s", kind, stats.firstViolation)
		}
	}
	if g.satisfied {
		g.satisfied = complete > 0
		g.observed = fmt.Sprintf("%d of %d calls got a complete answer, the rest an error", complete, calls)
	}
	return []guarantee{g, d.lookupGuarantee()}
}

// lookupObjective is the latency objective of the sample rules for status lookups.
const lookupObjective = 200 * time.Millisecond

// lookupGuarantee checks the p99 of status lookups against lookupObjective; d.online.mu is held.
func (d *demo) lookupGuarantee() guarantee {
	g := guarantee{statement: "status lookups do not wait behind batch work"}
	stats := d.online.kinds[kindLookup]
	if stats == nil {
		g.observed = "no status lookup was recorded"
		return g
	}
	p99 := time.Duration(stats.times.ValueAtQuantile(99)) * time.Microsecond
	g.satisfied = stats.complete > 0 && p99 <= lookupObjective
	g.observed = fmt.Sprintf("p99 %s, objective %s", p99.Round(100*time.Microsecond), lookupObjective)
	return g
}
