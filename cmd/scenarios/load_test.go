package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rogpeppe/go-internal/testscript"
)

// loadRun is a load of online calls that runs in the background and checks every answer.
type loadRun struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// calls = complete + errors + broken + violations, except that an error answer without an outcome, or in a stream
	// that ends with [DONE], counts as an error and as a violation. errors are answers that state the outcome of the
	// request; broken are connections that ended without an answer; violations are answers that are cut or belong to
	// another request.
	calls, complete, errors, broken, violations int
	firstProblem                                string
	lookups                                     *hdrhistogram.Histogram
	textByPrompt                                map[string]string
}

// controlLoad starts or stops a background load of online calls: load start ID INSTITUTION WORKERS NODE..., load stop ID.
// INSTITUTION is board or agencia. Each worker calls the nodes in turn. Stopping a load prints its counts, and fails if no
// call got a complete answer.
func controlLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	switch {
	case len(args) >= 5 && args[0] == "start":
		var workers int
		_, err := fmt.Sscan(args[3], &workers)
		ts.Check(err)
		var addresses []string
		for _, name := range args[4:] {
			addresses = append(addresses, f.node(ts, name).address)
		}
		f.loads[args[1]] = f.startLoad(args[2], workers, addresses)
	case len(args) == 2 && args[0] == "stop":
		l := f.loads[args[1]]
		if l == nil {
			ts.Fatalf("there is no load %q", args[1])
		}
		l.cancel()
		l.wg.Wait()
		fmt.Fprintf(ts.Stdout(), "calls=%d complete=%d errors=%d broken=%d violations=%d lookup_p99_ms=%d\n", l.calls, l.complete, l.errors,
			l.broken, l.violations, l.lookups.ValueAtQuantile(99)/1000)
		if l.firstProblem != "" {
			fmt.Fprintln(ts.Stdout(), "first:", l.firstProblem)
		}
		if l.complete == 0 {
			ts.Fatalf("load %s got no complete answer: %s", args[1], l.firstProblem)
		}
	default:
		ts.Fatalf("usage: load start ID INSTITUTION WORKERS NODE... | load stop ID")
	}
}

// lookupP99Limit is the p99 of lookups that is always allowed. A lookup that waits for one batch item takes longer.
const lookupP99Limit = 100 * time.Millisecond

// compareLookups compares the lookups of two stopped loads: lookups LOAD BASE. The p99 of LOAD must be below
// lookupP99Limit or, on a machine that is slow even without a backlog, below twice the p99 of BASE.
func compareLookups(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if len(args) != 2 || f.loads[args[0]] == nil || f.loads[args[1]] == nil {
		ts.Fatalf("usage: lookups LOAD BASE")
	}
	p99 := func(id string) time.Duration {
		return time.Duration(f.loads[id].lookups.ValueAtQuantile(99)) * time.Microsecond
	}
	limit := max(lookupP99Limit, 2*p99(args[1]))
	if got := p99(args[0]); got >= limit {
		ts.Fatalf("lookups of load %s have a p99 of %s; the limit is %s, since load %s had %s", args[0], got, limit, args[1], p99(args[1]))
	}
}

// startLoad starts workers that each make a chat call, a streamed one and a lookup in a loop until the load is cancelled.
func (f *fleet) startLoad(institution string, workers int, addresses []string) *loadRun {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadRun{cancel: cancel, lookups: hdrhistogram.New(1, time.Minute.Microseconds(), 3), textByPrompt: map[string]string{}}
	model, service := "reference-summary", "status"
	if institution == "agencia" {
		model, service = "rights-tagger", "portal"
	}
	for w := range workers {
		l.wg.Go(func() {
			for n := w; ctx.Err() == nil; n++ {
				c := loadCall{run: l, key: f.standins.Keys[institution], address: addresses[n%len(addresses)], model: model, service: service, n: n}
				c.chat()
				c.stream()
				c.lookup()
			}
		})
	}
	return l
}

// loadCall is one round of calls of a worker. n counts the worker's rounds from the index of the worker; it selects the
// node, the prompt and the record.
type loadCall struct {
	run                          *loadRun
	key, address, model, service string
	n                            int
}

// send sends a request and returns the answer and its body, which is closed.
func (c loadCall) send(method, path, body string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer, data, err
}

// checkAnswer counts one answer. parse returns the text of an answer and whether the answer is complete. An answer is a
// violation if it is not complete, or if its text differs from that of the first complete answer to the same prompt.
func (c loadCall) checkAnswer(answer *http.Response, data []byte, err error, prompt string, parse func([]byte) (string, bool)) {
	l := c.run
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	switch {
	case err != nil:
		l.broken++
		l.recordProblem("broken: " + err.Error())
		return
	case answer.StatusCode != http.StatusOK:
		if answer.Header.Get("Trefoil-Outcome") == "" {
			l.violations++
		}
		l.errors++
		l.recordProblem(fmt.Sprintf("status %d: %s", answer.StatusCode, data))
		return
	case strings.Contains(string(data), "event: error"):
		if strings.Contains(string(data), "[DONE]") {
			l.violations++
		}
		l.errors++
		l.recordProblem(string(data[max(0, len(data)-300):]))
		return
	}
	text, ok := parse(data)
	expected, known := l.textByPrompt[prompt]
	if !known && ok {
		l.textByPrompt[prompt] = text
		expected = text
	}
	if !ok || text != expected {
		l.violations++
		l.recordProblem(fmt.Sprintf("violation: prompt %q: %s", prompt, data))
		return
	}
	l.complete++
}

// recordProblem keeps the text of the first problem, which "load stop" prints.
func (l *loadRun) recordProblem(text string) {
	if l.firstProblem == "" {
		l.firstProblem = text
	}
}

func (c loadCall) prompt() string { return fmt.Sprintf("letter %d for %s", c.n%5, c.model) }

// chat makes an unstreamed chat call.
func (c loadCall) chat() {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":10,"messages":[{"role":"user","content":%q}]}`, c.model, c.prompt())
	answer, data, err := c.send(http.MethodPost, "/v1/chat/completions", body)
	c.checkAnswer(answer, data, err, c.prompt(), func(data []byte) (string, bool) {
		var a struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if json.Unmarshal(data, &a) != nil || len(a.Choices) != 1 {
			return "", false
		}
		return a.Choices[0].Message.Content, true
	})
}

// stream makes a streamed chat call. The stream must end with [DONE] and have the same text as the unstreamed answer to
// the same prompt.
func (c loadCall) stream() {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":10,"messages":[{"role":"user","content":%q}]}`, c.model, c.prompt())
	answer, data, err := c.send(http.MethodPost, "/v1/chat/completions", body)
	c.checkAnswer(answer, data, err, c.prompt(), func(data []byte) (string, bool) {
		var text strings.Builder
		for _, line := range strings.Split(string(data), "\n") {
			payload, ok := strings.CutPrefix(line, "data: ")
			if !ok {
				continue
			}
			if payload == "[DONE]" {
				return text.String(), true
			}
			var a struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if json.Unmarshal([]byte(payload), &a) != nil || len(a.Choices) != 1 {
				return "", false
			}
			text.WriteString(a.Choices[0].Delta.Content)
		}
		return "", false
	})
}

// lookup gets a record from the plain service and records the time that this took.
func (c loadCall) lookup() {
	path := fmt.Sprintf("/record/%d", c.n)
	start := time.Now()
	answer, data, err := c.send(http.MethodGet, "/v1/services/"+c.service+path, "")
	took := time.Since(start)
	c.checkAnswer(answer, data, err, path, func(data []byte) (string, bool) {
		var a struct{ Path string }
		return a.Path, json.Unmarshal(data, &a) == nil && a.Path == path
	})
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	_ = c.run.lookups.RecordValue(took.Microseconds())
}
