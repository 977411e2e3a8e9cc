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

// onlineKind names a kind of online call in the table.
type onlineKind string

const (
	kindChat   onlineKind = "chat completion"
	kindStream onlineKind = "streamed completion"
	kindLookup onlineKind = "status lookup"
)

// onlineRow counts the calls of one kind.
type onlineRow struct {
	// refused counts answers and streams that end with an error which says what became of the request.
	calls, whole, refused int
	times                 *hdrhistogram.Histogram
	firstFault            string
}

// onlineStats collects what online callers saw.
type onlineStats struct {
	mu    sync.Mutex
	kinds map[onlineKind]*onlineRow
	// texts holds the first answer to each prompt, which every later one must equal.
	texts map[string]string
}

func newOnlineStats() *onlineStats {
	return &onlineStats{kinds: map[onlineKind]*onlineRow{}, texts: map[string]string{}}
}

// add records one call; fault is empty for a whole answer.
func (s *onlineStats) add(kind onlineKind, took time.Duration, refused bool, fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.kinds[kind]
	if row == nil {
		row = &onlineRow{times: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
		s.kinds[kind] = row
	}
	row.calls++
	switch {
	case refused:
		row.refused++
	case fault == "":
		row.whole++
		_ = row.times.RecordValue(took.Microseconds())
	case row.firstFault == "":
		row.firstFault = fault
	}
}

// sameText reports whether text equals the first answer to the prompt.
func (s *onlineStats) sameText(prompt, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.texts[prompt]
	if !ok {
		s.texts[prompt] = text
		return true
	}
	return first == text
}

func (s *onlineStats) rows() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []string
	for kind, r := range s.kinds {
		at := func(q float64) time.Duration { return time.Duration(r.times.ValueAtQuantile(q)) * time.Microsecond }
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%s\t%s", kind, r.calls, r.whole, r.refused,
			at(50).Round(100*time.Microsecond), at(99).Round(100*time.Microsecond), at(100).Round(100*time.Microsecond)))
	}
	sort.Strings(rows)
	return rows
}

// runOnline sends online calls of both institutions until ctx ends.
func (d *demo) runOnline(ctx context.Context) {
	var wg sync.WaitGroup
	for i, institution := range d.fleet.standins.Register.Institutions {
		key := d.fleet.Ready.Keys[institution.Name]
		caller := d.fleet.standins.Register.Callers[i]
		for worker := range onlineCallers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					prompt := fmt.Sprintf("letter %d of %s", (worker+n)%7, institution.Name)
					d.chat(key, caller.Grants.Models[0], prompt)
					d.stream(key, caller.Grants.Models[0], prompt)
					d.lookup(key, caller.Grants.Services[0], n)
				}
			})
		}
	}
	wg.Wait()
}

// callTimeout bounds one online call of the demo.
const callTimeout = 20 * time.Second

func (d *demo) call(key, method, path string, body string) (answer, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	began := time.Now()
	a, err := d.client.do(ctx, key, method, d.client.node()+path, nil, []byte(body))
	return a, time.Since(began), err
}

func refused(a answer) bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

func (d *demo) chat(key, model, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":16,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	a, took, err := d.call(key, http.MethodPost, "/v1/chat/completions", body)
	var got struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	fault := ""
	switch {
	case err != nil:
		fault = err.Error()
	case a.status != http.StatusOK:
		fault = fmt.Sprintf("status %d: %s", a.status, a.body)
	case json.Unmarshal(a.body, &got) != nil || len(got.Choices) != 1:
		fault = "answer is not whole"
	case !d.online.sameText(prompt, got.Choices[0].Message.Content):
		fault = "answer differs from the first answer to the same prompt"
	}
	d.online.add(kindChat, took, refused(a), fault)
}

func (d *demo) stream(key, model, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":16,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	a, took, err := d.call(key, http.MethodPost, "/v1/chat/completions", body)
	fault := ""
	switch {
	case err != nil:
		fault = err.Error()
	case a.status != http.StatusOK:
		fault = fmt.Sprintf("status %d: %s", a.status, a.body)
	default:
		text, done := streamText(string(a.body))
		if !done && strings.Contains(string(a.body), "event: error") {
			d.online.add(kindStream, took, true, "")
			return
		}
		if !done {
			fault = "stream does not end with [DONE]: " + string(a.body[max(0, len(a.body)-300):])
		} else if !d.online.sameText(prompt, text) {
			fault = "streamed text differs from the plain answer"
		}
	}
	d.online.add(kindStream, took, refused(a), fault)
}

// streamText joins the text of a stream and reports whether it ended properly.
func streamText(body string) (string, bool) {
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

func (d *demo) lookup(key, service string, n int) {
	path := fmt.Sprintf("/v1/services/%s/record/%d", service, n)
	a, took, err := d.call(key, http.MethodGet, path, "")
	var got struct{ Path string }
	fault := ""
	switch {
	case err != nil:
		fault = err.Error()
	case a.status != http.StatusOK:
		fault = fmt.Sprintf("status %d: %s", a.status, a.body)
	case json.Unmarshal(a.body, &got) != nil || got.Path != fmt.Sprintf("/record/%d", n):
		fault = "answer belongs to another request"
	}
	d.online.add(kindLookup, took, refused(a), fault)
}

// onlinePromises judges what the online callers saw.
func (d *demo) onlinePromises() []promise {
	d.online.mu.Lock()
	defer d.online.mu.Unlock()
	p := promise{text: "each caller got the whole answer to its own request, or an error", held: true}
	calls, whole := 0, 0
	for kind, r := range d.online.kinds {
		calls, whole = calls+r.calls, whole+r.whole
		if r.firstFault != "" {
			p.held = false
			p.detail = fmt.Sprintf("%s: %s", kind, r.firstFault)
		}
	}
	if p.held {
		p.held = whole > 0
		p.detail = fmt.Sprintf("%d of %d calls whole, the rest answered with an error", whole, calls)
	}
	return []promise{p, d.lookupPromise()}
}

// lookupBound is the sample rules' objective for the status lookup.
const lookupBound = 200 * time.Millisecond

func (d *demo) lookupPromise() promise {
	p := promise{text: "status lookups do not wait behind batch work"}
	r := d.online.kinds[kindLookup]
	if r == nil {
		p.detail = "no lookup was made"
		return p
	}
	p99 := time.Duration(r.times.ValueAtQuantile(99)) * time.Microsecond
	p.held = r.whole > 0 && p99 <= lookupBound
	p.detail = fmt.Sprintf("p99 %s, objective %s", p99.Round(100*time.Microsecond), lookupBound)
	return p
}
