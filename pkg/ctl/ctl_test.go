package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/config"
	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator"
)

// fakeNode serves the operators' API from a configuration in memory. A queued answer for a method and path is
// sent instead of the real one.
type fakeNode struct {
	http.Handler
	board *blackboard.Board

	mu     sync.Mutex
	queued map[string][]cannedAnswer
	calls  []string
}

type cannedAnswer struct {
	status int
	body   string
}

func newFakeNode() *fakeNode {
	n := &fakeNode{board: blackboard.New(), queued: map[string][]cannedAnswer{}}
	digest := sha256.Sum256([]byte("op"))
	recorder := burn.NewRecorder(&n.board.Config, time.Now)
	log := explain.NewLog("n1", 10, time.Now)
	log.Record(explain.Entry{Upstream: "e", Decision: "order-sent", Reason: "version wanted"})
	n.Handler = operator.New(operator.Options{
		Node: "n1", Board: n.board, Config: n, Burn: recorder, Explain: log, KeyDigests: []string{hex.EncodeToString(digest[:])},
	})
	return n
}

// Apply accepts every change whose condition on the version in force holds.
func (n *fakeNode) Apply(_ context.Context, c config.Change) (int64, error) {
	next := n.board.Config.Value()
	if !c.Matches(next.Version) {
		return 0, &config.RaceError{Current: next.Version}
	}
	if c.Register != nil {
		next.Register = *c.Register
	}
	if c.Rules != nil {
		next.Rules = *c.Rules
	}
	next.Version++
	n.board.Config.Set(next)
	return next.Version, nil
}

// History returns no records.
func (n *fakeNode) History(context.Context) ([]config.Record, error) { return nil, nil }

// Accepted returns the version in force.
func (n *fakeNode) Accepted() int64 { return n.board.Config.Value().Version }

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	call := r.Method + " " + r.URL.Path
	n.mu.Lock()
	n.calls = append(n.calls, fmt.Sprintf("%s key=%s auth=%s %s", call,
		r.Header.Get(api.HeaderIdempotencyKey), r.Header.Get("Authorization"), body))
	queue := n.queued[call]
	if len(queue) > 0 {
		n.queued[call] = queue[1:]
	}
	n.mu.Unlock()
	if len(queue) > 0 {
		w.WriteHeader(queue[0].status)
		_, _ = io.WriteString(w, queue[0].body)
		return
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	n.Handler.ServeHTTP(w, r)
}

// Runs the scripts of testdata, which say what they guard against. They have these commands besides those of
// testscript: "ctl STATUS ARGS..." runs trefoilctl in this process and requires the exit status, "answer METHOD PATH
// STATUS BODY" queues an answer, and "calls" prints the requests that the node received.
func TestScripts(t *testing.T) {
	node := func(ts *testscript.TestScript) *fakeNode { return ts.Value("node").(*fakeNode) }
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			n := newFakeNode()
			s := httptest.NewServer(n)
			e.Defer(s.Close)
			e.Values["node"] = n
			e.Setenv("SERVER", s.Listener.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl": func(ts *testscript.TestScript, _ bool, args []string) {
				server := ts.Getenv("SERVER")
				all := append([]string{"--server", server, "--caller-server", server, "--key", "op", "--caller-key", "ck"}, args[1:]...)
				got := Run(all, strings.NewReader(ts.Getenv("STDIN")), ts.Stdout(), ts.Stderr())
				if strconv.Itoa(got) != args[0] {
					ts.Fatalf("exit status %d, must be %s", got, args[0])
				}
			},
			"answer": func(ts *testscript.TestScript, _ bool, args []string) {
				status, err := strconv.Atoi(args[2])
				ts.Check(err)
				call := args[0] + " " + args[1]
				node(ts).queued[call] = append(node(ts).queued[call], cannedAnswer{status, args[3]})
			},
			"calls": func(ts *testscript.TestScript, _ bool, _ []string) {
				node(ts).mu.Lock()
				defer node(ts).mu.Unlock()
				_, _ = fmt.Fprintln(ts.Stdout(), strings.Join(node(ts).calls, "\n"))
			},
		},
	})
}

// Guards against burn pages that load other resources, since they are read offline, and against institution and
// objective names that break a page: a slash in a file name, or a tag in HTML.
func TestBurnPagesLoadNoExternalResources(t *testing.T) {
	window := operator.WindowBurn{Count: decision.Count{Good: 90, Bad: 10}, BurnRate: 10}
	windows := map[string]operator.WindowBurn{"5m": window, "1h": window, "6h": window, "3d": {}}
	report := operator.BurnReport{Objectives: []operator.ObjectiveBurn{
		{Institution: "a/b", Objective: "<script>", Windows: windows}, {Institution: "a/b", Objective: "idle"},
	}}
	paths, err := writePages(t.TempDir(), report, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 1)
	assert.Equal(t, filepath.Base(paths[0]), "a%2Fb.html")
	page, err := os.ReadFile(paths[0])
	assert.NilError(t, err)
	text := string(page)
	assert.Equal(t, strings.Count(text, "<svg"), 3)
	for _, external := range []string{"<script", "src=", "<link", "@import", "url("} {
		assert.Assert(t, !strings.Contains(text, external), external)
	}
	assert.Assert(t, strings.Contains(text, "fast alert") && strings.Contains(text, "<td>90</td><td>10</td><td>10.00</td>"))
}
