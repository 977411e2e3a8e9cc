package dev

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/node"
	"trefoilplank.example/standin/network"
)

// Limits on callers of nodes that are cut off from upstreams: later than contactTime after the beginning of a cut, their first
// attempts are served at least servedRatio as often as those at other nodes.
const (
	contactTime = 3 * time.Second
	servedRatio = 2.0 / 3
	cutLength   = 6 * time.Second
	// cutRate is the number of requests a second of each kind at each node.
	cutRate = 4
)

// cutOffFleet is a development fleet of which nodes can be cut off from upstreams.
type cutOffFleet struct {
	*Fleet
	t       *testing.T
	cutters []*network.Cutter
	calls   sync.WaitGroup

	mu      sync.Mutex
	results []attemptResult
}

// attemptResult is the outcome of a caller's first attempt.
type attemptResult struct {
	node   int
	kind   string
	sent   time.Time
	served bool
	status int
	text   string
}

const cutOffNodes = 4

func newCutOffFleet(t *testing.T) *cutOffFleet {
	f := &cutOffFleet{t: t}
	for range cutOffNodes {
		f.cutters = append(f.cutters, network.NewCutter())
	}
	var err error
	f.Fleet, err = start(Options{Nodes: cutOffNodes, Seed: 1}, func(n int) []node.Option {
		return []node.Option{node.WithUpstreamDialer(f.cutters[n].Dial)}
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return f
}

// call makes a caller's first attempt of a kind: a streamed or a plain completion, a lookup, or a charge that must not run
// twice.
func (f *cutOffFleet) call(n int, kind string) {
	a := attemptResult{node: n, kind: kind, sent: time.Now()}
	path, body := "/v1/services/status/record/17", ""
	switch kind {
	case "stream", "completion":
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":"reference-summary","max_tokens":8,"stream":%t,"messages":[{"role":"user","content":"letter %d"}]}`, kind == "stream", a.sent.UnixNano())
	case "charge":
		path, body = "/v1/services/status/charge", "{}"
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Ready.Nodes[n].Address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+f.Ready.Keys["board"])
	r.Header.Set("Trefoil-Timeout-Ms", "4000")
	if kind == "charge" {
		r.Header.Set("Trefoil-Non-Idempotent", "true")
	}
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.text = resp.StatusCode, string(text)
		a.served = readErr == nil && resp.StatusCode == http.StatusOK && (kind != "stream" || strings.HasSuffix(a.text, "data: [DONE]\n\n"))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, a)
}

var attemptKinds = []string{"stream", "completion", "lookup", "charge"}

// run sends requests of all kinds to all nodes for a time.
func (f *cutOffFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / cutRate) {
		for n := range f.Ready.Nodes {
			for _, kind := range attemptKinds {
				f.calls.Go(func() { f.call(n, kind) })
			}
		}
	}
}

// served returns how many first attempts of a kind the nodes of a group got in a time, and how many they served.
func (f *cutOffFleet) served(from, to time.Time, kind string, cut bool) (sent, served int) {
	for _, a := range f.results {
		if a.kind != kind || a.sent.Before(from) || !a.sent.Before(to) || (a.node < cutOffNodes/2) != cut {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, served
}

// Guards against callers of nodes that reach no upstream being served far worse than those of other nodes, on the interface for
// OpenAI clients: a node had no way to an upstream but its own connections, and told the others that upstreams were down.
func TestCallersOfNodesWithoutUpstreamsAreServed(t *testing.T) {
	f := newCutOffFleet(t)
	f.run(time.Second)
	for _, mode := range []network.Cut{network.Hangs, network.Resets} {
		services := map[string]bool{}
		for _, u := range f.Ready.Upstreams {
			services[u.Address] = u.Service != ""
		}
		for _, target := range []struct {
			name    string
			applies func(string) bool
		}{{"all", func(string) bool { return true }}, {"services", func(a string) bool { return services[a] }}} {
			begun := time.Now()
			for n := range cutOffNodes / 2 {
				f.cutters[n].Set(mode, target.applies)
			}
			f.run(cutLength)
			ended := time.Now()
			for n := range cutOffNodes / 2 {
				f.cutters[n].Set(network.NoCut, target.applies)
			}
			f.run(time.Second)
			f.calls.Wait()
			for _, kind := range attemptKinds {
				sent, served := f.served(begun.Add(contactTime), ended, kind, true)
				otherSent, otherServed := f.served(begun.Add(contactTime), ended, kind, false)
				t.Logf("%s, %s: %-10s cut off: %d of %d first attempts served, others: %d of %d", mode, target.name, kind, served, sent, otherServed, otherSent)
				if float64(served)*float64(otherSent) < servedRatio*float64(otherServed)*float64(sent) {
					t.Errorf("%s, %s: nodes that are cut off served %d of %d first attempts (%s), the others %d of %d", mode, target.name, served, sent, kind, otherServed, otherSent)
				}
			}
		}
	}
	f.checkOutcomes()
}

// checkOutcomes checks that no error says that a request did not run if the upstream ran it.
func (f *cutOffFleet) checkOutcomes() {
	ran := map[string]int{}
	for _, u := range f.Ready.Upstreams {
		var rows []struct {
			RequestID string `json:"request_id"`
			Started   any    `json:"started"`
		}
		resp, err := http.Get("http://" + u.Address + "/standin/executions")
		assert.NilError(f.t, err)
		err = json.NewDecoder(resp.Body).Decode(&rows)
		resp.Body.Close()
		assert.NilError(f.t, err)
		for _, row := range rows {
			ran[row.RequestID]++
		}
	}
	for _, a := range f.results {
		var answer struct {
			Error struct {
				Outcome   string `json:"outcome"`
				RequestID string `json:"request_id"`
			} `json:"error"`
		}
		if a.status < 400 || json.Unmarshal([]byte(a.text), &answer) != nil {
			continue
		}
		if n := ran[answer.Error.RequestID]; n > 0 && answer.Error.Outcome == "not-run" || n > 1 && a.kind == "charge" {
			f.t.Errorf("request %s ran %d times and got %s", answer.Error.RequestID, n, a.text)
		}
	}
}
