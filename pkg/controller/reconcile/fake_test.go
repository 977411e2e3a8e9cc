package reconcile

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/adapter/store/storetest"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/reconcile"
	"trefoilplank.example/pkg/explain"
)

// fakeEngine is an engine that carries out orders. It checks fencing tokens if enforce is set.
type fakeEngine struct {
	reconcile.State
	enforce, noOrders bool
	// outOfService is set while the engine serves nothing because of a load.
	outOfService bool
	// log and tokens hold the orders received, in words, and their tokens.
	log    []string
	tokens []int64
}

// fakeFleet implements Engines with fake engines. A load takes loadTime and fails for badVersion.
type fakeFleet struct {
	mu         sync.Mutex
	engines    map[string]*fakeEngine
	badVersion string
	loadTime   time.Duration
	// stateLag is the time after which the state shows a load.
	stateLag time.Duration
	// minServing is the smallest number of engines that served model m at any order.
	minServing int
}

func (f *fakeFleet) State(_ context.Context, u api.Upstream) (reconcile.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[u.Name]
	if e.noOrders {
		return reconcile.State{}, ErrNoOrders
	}
	s := e.State
	s.Models, s.Loading, s.Failed = clone(s.Models), clone(s.Loading), clone(s.Failed)
	return s, nil
}

func clone(m map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (f *fakeFleet) Order(ctx context.Context, u api.Upstream, token int64, o reconcile.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
	e := f.engines[u.Name]
	e.log, e.tokens = append(e.log, fmt.Sprintf("%d %s", token, describeOrder(o))), append(e.tokens, token)
	if e.enforce && token < e.Fencing {
		return ErrStaleToken
	}
	e.Fencing = max(e.Fencing, token)
	if o.Kind == reconcile.Load {
		e.outOfService = true
		if f.stateLag == 0 {
			e.Loading[o.Model] = o.Version
		} else {
			time.AfterFunc(f.stateLag, func() { f.showLoading(e, o) })
		}
		time.AfterFunc(f.loadTime, func() { f.finishLoad(e, o) })
	}
	serving := 0
	for _, x := range f.engines {
		if x.Models["m"] != "" && !x.outOfService {
			serving++
		}
	}
	f.minServing = min(f.minServing, serving)
	return nil
}

// showLoading makes the engine's state show a load.
func (f *fakeFleet) showLoading(e *fakeEngine, o reconcile.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Loading[o.Model] = o.Version
}

// finishLoad ends a load with success, or with a failure for badVersion.
func (f *fakeFleet) finishLoad(e *fakeEngine, o reconcile.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(e.Loading, o.Model)
	e.outOfService = false
	if o.Version == f.badVersion {
		e.Failed[o.Model] = o.Version
		return
	}
	delete(e.Failed, o.Model)
	e.Models[o.Model] = o.Version
}

// ejectEngines sets the health of the engines that serve the version to ejected on the node's board.
func (f *fixture) ejectEngines(node, version string) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	health := map[string]blackboard.UpstreamStatus{}
	for u, e := range f.fleet.engines {
		if e.Models["m"] == version {
			health[u] = blackboard.UpstreamStatus{Health: blackboard.HealthEjected}
		}
	}
	f.board[node].Upstreams.Set(health)
}

// versions counts the engines by version of model m.
func (f *fakeFleet) versions() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := map[string]int{}
	for _, e := range f.engines {
		n[e.Models["m"]]++
	}
	return n
}

// orders returns the orders that an engine received, in words.
func (f *fakeFleet) orders(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.engines[name].log...)
}

// pausedStore is a faulty store that can also pause a writer.
type pausedStore struct {
	*storetest.Faulty
	// pause blocks the next writer of a roll-out record after its write, until the channel is closed.
	pause chan struct{}
}

func (s *pausedStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	revision, err := s.Faulty.Put(ctx, key, value, expect)
	if pause := s.pause; pause != nil && strings.HasPrefix(key, "rollouts/") {
		s.pause = nil
		<-pause
	}
	return revision, err
}

// fakeWeights starts every transfer, or returns the result of begin if that is set.
type fakeWeights struct{ begin func() error }

func (w *fakeWeights) RequestTransfer(context.Context, string, string) error {
	if w.begin != nil {
		return w.begin()
	}
	return nil
}

// fixture is a fleet of fake engines with one controller for each node name.
type fixture struct {
	t     *testing.T
	fleet *fakeFleet
	store *pausedStore
	// records is the store without its faults.
	records *memstore.Store
	weights *fakeWeights
	board   map[string]*blackboard.Board
	log     map[string]*explain.Log
	nodes   map[string]*Controller
}

// newFixture starts n engines that hold version v1 of model m; desired is the version in the register.
func newFixture(t *testing.T, n, minimum int, desired string, fencing api.Fencing, nodes ...string) *fixture {
	records := memstore.New()
	f := &fixture{
		t: t, store: &pausedStore{Faulty: storetest.New(records)}, records: records, weights: &fakeWeights{},
		fleet: &fakeFleet{engines: map[string]*fakeEngine{}, loadTime: 20 * time.Second, minServing: n},
		board: map[string]*blackboard.Board{}, log: map[string]*explain.Log{}, nodes: map[string]*Controller{},
	}
	r := api.Register{Models: []api.Model{{Name: "m", Version: desired, MinReplicas: minimum}}}
	for i := range n {
		name := fmt.Sprintf("u%d", i)
		r.Upstreams = append(r.Upstreams, api.Upstream{
			Name: name, AvailabilityZone: "abc"[i%3 : i%3+1], Kind: api.UpstreamEngine, Models: []string{"m"}, Fencing: fencing,
		})
		f.fleet.engines[name] = &fakeEngine{enforce: fencing == api.FencingEnforced, State: reconcile.State{
			Models: map[string]string{"m": "v1"}, Loading: map[string]string{}, Failed: map[string]string{}, Role: "serve",
		}}
	}
	for _, node := range nodes {
		b := blackboard.New()
		b.Config.Set(api.Config{Version: 1, Register: r})
		f.board[node], f.log[node] = b, explain.NewLog(node, 1000, time.Now)
		f.nodes[node] = New(Options{
			Node: node, Board: b, Store: f.store, Engines: f.fleet, Weights: f.weights, Explain: f.log[node],
		})
		f.renewNodeLease(node)
	}
	return f
}

// renewNodeLease renews the node lease of a node for 30 s.
func (f *fixture) renewNodeLease(node string) {
	f.board[node].Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(30 * time.Second)})
}

// pass makes n passes of a node's controller, two seconds apart, and renews the node's lease before each.
func (f *fixture) pass(node string, n int) {
	for range n {
		f.renewNodeLease(node)
		f.nodes[node].Sync(context.Background())
		time.Sleep(2 * time.Second)
	}
}

// hasDecision reports whether a node recorded the decision in its explain log.
func (f *fixture) hasDecision(node, decision string) bool {
	for _, e := range f.log[node].Find(explain.Query{}) {
		if e.Decision == decision {
			return true
		}
	}
	return false
}
