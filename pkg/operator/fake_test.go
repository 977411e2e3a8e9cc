package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator/status"
)

// fakeAccepter accepts changes in memory. If err is set, Apply returns it instead of accepting the change, or, with
// errAfterChange, after accepting it.
type fakeAccepter struct {
	mu             sync.Mutex
	board          *blackboard.Board
	history        []config.Record
	err            error
	errAfterChange bool
	// blocks makes Apply wait until its context ends.
	blocks bool
	// unaware makes Accepted return 0, as on a node that does not yet know about changes accepted through other nodes.
	unaware bool
}

func (a *fakeAccepter) Apply(ctx context.Context, c config.Change) (int64, error) {
	if a.blocks {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil && !a.errAfterChange {
		return 0, a.err
	}
	for _, h := range a.history {
		if h.Key == c.Key {
			return h.Version, nil
		}
	}
	current := a.board.Config.Value()
	if !c.Matches(current.Version) {
		return 0, &config.RaceError{Current: current.Version}
	}
	next := withChange(current, c)
	next.Version++
	a.board.Config.Set(next)
	a.history = append([]config.Record{{Version: next.Version, Key: c.Key, Who: c.Who}}, a.history...)
	if a.err != nil {
		return 0, a.err
	}
	return next.Version, nil
}

func (a *fakeAccepter) History(context.Context) ([]config.Record, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == store.ErrUnavailable {
		return nil, a.err
	}
	return a.history, nil
}

func (a *fakeAccepter) Accepted() int64 {
	if a.unaware {
		return 0
	}
	return a.board.Config.Value().Version
}

// fakePeers calls other nodes with net/rpc over pipes; a node without a server never answers.
type fakePeers struct{ servers map[string]*rpc.Server }

func (p *fakePeers) Call(ctx context.Context, node, method string, args, reply any) error {
	s := p.servers[node]
	if s == nil {
		<-ctx.Done()
		return peer.ErrTimeout
	}
	a, b := net.Pipe()
	go s.ServeConn(a)
	client := rpc.NewClient(b)
	defer func() { _ = client.Close() }()
	return client.Call(method, args, reply)
}

func (p *fakePeers) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

type registrar struct{ *rpc.Server }

func (r registrar) Register(name string, receiver any) error { return r.RegisterName(name, receiver) }

const operatorKey = "op-key"

// fixture is the operators' interface of node n1. Its other members are n2, which answers, and n3, which does not.
type fixture struct {
	handler    http.Handler
	board      *blackboard.Board
	accepter   *fakeAccepter
	n2         Options
	explainLog *explain.Log
	burn       *burn.Recorder
	n2Report   *status.Report
	digests    []string
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{board: blackboard.New(), n2Report: &status.Report{}}
	f.accepter = &fakeAccepter{board: f.board}
	live := map[string]blackboard.Member{
		"n1": {Name: "n1"}, "n2": {Name: "n2", AvailabilityZone: "b"}, "n3": {Name: "n3", ConfigVersion: 1, LastHeard: time.Unix(5, 0)},
	}
	f.board.Members.Set(blackboard.Members{Self: "n1", Live: live})
	f.explainLog = explain.NewLog("n1", 100, time.Now)
	f.burn = burn.NewRecorder(&f.board.Config, time.Now)
	f.n2 = Options{Node: "n2", Board: blackboard.New(), Explain: explain.NewLog("n2", 100, time.Now)}
	f.n2.Burn = burn.NewRecorder(&f.board.Config, time.Now)
	f.n2.Providers = []status.Provider{status.ProviderFunc(func(context.Context) status.Report { return *f.n2Report })}
	server := rpc.NewServer()
	assert.NilError(t, NewLocalNode(f.n2).Register(registrar{server}))
	digest := sha256.Sum256([]byte(operatorKey))
	f.digests = []string{hex.EncodeToString(digest[:])}
	f.handler = New(Options{
		Node: "n1", Board: f.board, Config: f.accepter, Explain: f.explainLog, Burn: f.burn, MemberTimeout: 50 * time.Millisecond,
		Peers: &fakePeers{map[string]*rpc.Server{"n2": server}}, KeyDigests: f.digests,
	})
	return f
}

// call makes a call with the operator key; header alternates names and values.
func (f *fixture) call(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

func (f *fixture) apply(body string, header ...string) *httptest.ResponseRecorder {
	return f.call("POST", "/v1/admin/apply", body, header...)
}

func decodeBody[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &v), w.Body.String())
	return v
}

const register = `kind: Register
institutions: [{name: a}]
models: [{name: m}]
upstreams: [{name: e, address: "127.0.0.1:9", vm: v, availability_zone: z, kind: engine, models: [m]}]
`

const rules = `kind: Rules
institutions:
  - {institution: a, share: 1, objectives: [{name: o, metric: duration, latency: 1s, target: 0.9}]}
`

var _ config.Accepter = (*fakeAccepter)(nil)
