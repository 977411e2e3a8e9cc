package listjob

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/forward"
)

const testHost = "jobs.example"

// testTable returns a table that routes all items of the test host to one service.
func testTable() *routing.Table {
	return routing.NewTable(routing.Configuration{Version: 1, Routes: []routing.Route{{
		Name: "batch", Host: testHost, Prefix: "/b/", Kind: routing.KindBatch, Service: "model", MaxAttempts: 3,
		Completion: 18 * time.Second, Retention: time.Minute,
	}}})
}

var testHeaders = forward.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Expect", NotRun: "X-Not-Run", Load: "X-Load",
	LastEventID: "X-After", Signature: "X-Stamp",
}

// engine is a fake upstream that streams the events of items: the data of event n of an item is "ID-n".
type engine struct {
	*httptest.Server
	events   int
	interval time.Duration
	mu       sync.Mutex
	// runs counts the requests by item; fail returns the status of a run that fails at once, or 0.
	runs map[string]int
	fail func(id string, run int) int
	// version is the software version of the engine, which its events name if it is set.
	version string
	// data returns the data of an event in place of "ID-n", if it is set.
	data func(id string, n int) string
	// breakAt is the event in the middle of which the first run of each item breaks off, or 0. stallAt is the one in the middle
	// of which it stalls, but for a byte every 100 ms.
	breakAt, stallAt int
	// pauseAt is the event before which the engine is silent for pause, once in each run that sends earlier ones, or 0.
	pauseAt int
	pause   time.Duration
}

func newEngine(t *testing.T, events int, interval time.Duration) *engine {
	e := &engine{events: events, interval: interval, runs: map[string]int{}}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testHeaders.RequestID)
	e.mu.Lock()
	e.runs[id]++
	run := e.runs[id]
	e.mu.Unlock()
	w.Header().Set(testHeaders.RequestID, id)
	w.Header().Set(testHeaders.Signature, "engine")
	if e.fail != nil {
		if status := e.fail(id, run); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	first := 0
	if after, err := strconv.Atoi(r.Header.Get(testHeaders.LastEventID)); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < e.events && r.Context().Err() == nil; n++ {
		if e.breakAt > 0 && n == e.breakAt && run == 1 {
			fmt.Fprintf(w, "id: %d\ndata: %s", n, id)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		if e.stallAt > 0 && n == e.stallAt && run == 1 {
			fmt.Fprintf(w, "id: %d\ndata: ", n)
			for r.Context().Err() == nil {
				fmt.Fprint(w, "x")
				w.(http.Flusher).Flush()
				time.Sleep(100 * time.Millisecond)
			}
			return
		}
		if e.pauseAt > 0 && n == e.pauseAt && n > first {
			time.Sleep(e.pause)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.eventData(id, n))
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
		}
	}
}

// text returns the expected result text of an item.
func (e *engine) text(id string) string {
	var lines []string
	for n := range e.events {
		lines = append(lines, e.eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

func (e *engine) eventData(id string, n int) string {
	if e.data != nil {
		return e.data(id, n)
	}
	return fmt.Sprintf("%s-%d%s", id, n, e.version)
}

// network connects controllers in process. Nodes in cut can't call others or be called.
type network struct {
	// logTo is where the logs of nodes go, if it is set.
	logTo io.Writer
	mu    sync.Mutex
	nodes map[string]*Controller
	cut   map[string]bool
	// deaf holds nodes that can't be called, but call others.
	deaf map[string]bool
	// frozen holds the nodes that are frozen: their loops and calls stand still, and calls to them get no answer.
	frozen   map[string]frozenNode
	frozenMu sync.Mutex
	// unreported is set while the hub does not report nodes in cut as unresponsive.
	unreported bool
	// withoutCheck is set if nodes do not know the call Jobs.Check, as those of earlier builds.
	withoutCheck bool
	// adoptsLate is a node that does not read the calls of Jobs.Adopt in time, which are kept in lateAdopts.
	adoptsLate string
	lateAdopts []AdoptArgs
	// failedRuns holds the failed runs of all nodes.
	failedRuns *failedruns.Controller
	// waitingLimit is the limit on the waiting tokens of the route, and retention its retention if it is set.
	waitingLimit int64
	retention    time.Duration
	// customers and publicBatch are those of the configuration.
	customers   []routing.Customer
	publicBatch bool
	// calls counts the calls between nodes by method.
	calls map[string]int
	// tables are the configurations of nodes that have another one than the others.
	tables   map[string]*routing.Table
	tablesMu sync.Mutex
	// ledger is the hub's.
	ledger *quota.Ledger
}

// isHub reports whether a node is the hub: the first one by name that is not cut off.
func (n *network) isHub(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		if other < name && !n.cut[other] && n.awakening(other) == nil {
			return false
		}
	}
	return !n.cut[name]
}

// hub returns the hub's name.
func (n *network) hub() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := ""
	for name := range n.nodes {
		if !n.cut[name] && n.awakening(name) == nil && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// hubSweeps reports whether a node reaches the hub.
func (n *network) hubSweeps(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[name]
}

// hubLedger returns the hub's ledger with what the nodes that the hub reaches report, or an error if the asking node does not
// reach the hub.
func (n *network) hubLedger(asking string) (*quota.Ledger, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[asking] {
		return nil, peer.ErrUnreachable
	}
	for name, c := range n.nodes {
		if !n.cut[name] && n.awakening(name) == nil {
			n.ledger.Report(name, c.Waiting())
		}
	}
	return n.ledger, nil
}

// hubWaiting and reserveWaiting are the hub's answers to a node.
func (n *network) hubWaiting(asking string) (map[string]int64, error) {
	ledger, err := n.hubLedger(asking)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return ledger.Tokens(), nil
}

func (n *network) reserveWaiting(asking string, r quota.Reservation) (int64, error) {
	ledger, err := n.hubLedger(asking)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return ledger.Reserve(r, time.Now()), nil
}

func newNetwork() *network {
	return &network{calls: map[string]int{}, ledger: quota.NewLedger(), nodes: map[string]*Controller{}, cut: map[string]bool{}, deaf: map[string]bool{}, frozen: map[string]frozenNode{}, failedRuns: failedruns.New(failedruns.Options{
		Node: "all", Others: func() []string { return nil }, Exchange: func() {}, Log: &eventlog.Log{},
	})}
}

// cutOff cuts a node off from the others; unreported means that the hub does not report it as unresponsive.
func (n *network) cutOff(name string, unreported bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = true
	n.unreported = n.unreported || unreported
}

// reconnect ends the cut of a node.
func (n *network) reconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, name)
}

// frozenNode is a node that is frozen since a time; awake is closed when it wakes.
type frozenNode struct {
	since time.Time
	awake chan struct{}
}

// unresponsiveAfter is the time without a report after which the hub reports a node as unresponsive.
const unresponsiveAfter = 1300 * time.Millisecond

// freeze stops a node until the returned function is called. It takes n.mu, so that the hub is not asking the node when it stops: the hub
// would hold that lock, and the node's own, until the node wakes.
func (n *network) freeze(name string) (wake func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenMu.Lock()
	defer n.frozenMu.Unlock()
	awake := make(chan struct{})
	n.frozen[name] = frozenNode{time.Now(), awake}
	return func() {
		n.frozenMu.Lock()
		defer n.frozenMu.Unlock()
		delete(n.frozen, name)
		close(awake)
	}
}

// awakening returns a channel that is closed when a frozen node wakes, nil for other nodes.
func (n *network) awakening(name string) chan struct{} {
	n.frozenMu.Lock()
	defer n.frozenMu.Unlock()
	return n.frozen[name].awake
}

// whileFrozen returns once a node is not frozen.
func (n *network) whileFrozen(name string) {
	if awake := n.awakening(name); awake != nil {
		<-awake
	}
}

// freezingStore is the store as a node reaches it.
type freezingStore struct {
	store.Store
	network *network
	self    string
}

func (s freezingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.network.whileFrozen(s.self)
	return s.Store.Get(ctx, key)
}

func (s freezingStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	s.network.whileFrozen(s.self)
	return s.Store.List(ctx, prefix, after, limit)
}

func (s freezingStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.network.whileFrozen(s.self)
	return s.Store.Put(ctx, key, value, expect)
}

// caller makes the calls of one node.
type caller struct {
	network *network
	self    string
}

func (c caller) Call(ctx context.Context, node, method string, args, reply any) error {
	c.network.whileFrozen(c.self)
	if c.network.awakening(node) != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	c.network.mu.Lock()
	target, cut, unknown := c.network.nodes[node], c.network.cut[node] || c.network.cut[c.self] || c.network.deaf[node], c.network.withoutCheck
	c.network.calls[method]++
	adopt, late := args.(AdoptArgs)
	if late = late && node == c.network.adoptsLate; late {
		c.network.lateAdopts = append(c.network.lateAdopts, adopt)
	}
	c.network.mu.Unlock()
	if late {
		<-ctx.Done()
		return ctx.Err()
	}
	if target == nil || cut {
		return peer.ErrUnreachable
	}
	if method == "Jobs.Check" && unknown {
		return errors.New("rpc: can't find method Jobs.Check")
	}
	var message bytes.Buffer
	if err := gob.NewEncoder(&message).Encode(args); err != nil {
		return err
	}
	if message.Len() > peer.MaxMessageBytes {
		return peer.ErrTooLarge
	}
	_, name, _ := strings.Cut(method, ".")
	out := reflect.ValueOf(target.Receiver()).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := out[0].Interface().(error)
	return err
}

func (c caller) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// node is a controller with its own view of the fleet.
type node struct {
	*Controller
	fleet  *fleet.Fleet
	placer *placer.Placer
	stop   context.CancelFunc
	// done is closed once the work of the controller has ended.
	done <-chan struct{}
}

func (n *network) addNode(t *testing.T, s store.Store, e *engine, name string, others ...string) *node {
	log := &eventlog.Log{}
	if n.logTo != nil {
		log = eventlog.New(n.logTo, name)
	}
	f := fleet.New(s, fleet.Member{Name: name, PeerAddress: name, Incarnation: 1, Weight: 1}, log)
	members := map[string]store.Object{}
	for _, other := range append(others, name) {
		key := fleet.Prefix + other
		members[key] = store.Object{Key: key, Value: fmt.Appendf(nil, `{"name":%q,"peer_address":%q,"incarnation":1,"weight":1}`, other, other)}
	}
	f.SetRegistered(members)
	f.Confirm(time.Now(), false) // The hub hears a node before it accepts jobs.
	p := placer.New("zone", log)
	p.SetUpstreams([]dispatch.Upstream{e.upstream()})
	routes := testTable().Configuration
	routes.Customers, routes.Routes[0].Public, routes.Routes[0].MaxWaitingTokens = n.customers, n.publicBatch, n.waitingLimit
	if n.retention > 0 {
		routes.Routes[0].Retention = n.retention
	}
	table := routing.NewTable(routes)
	links := uplink.New(uplink.Options{})
	c := New(Options{
		Store: freezingStore{s, n, name}, Peers: caller{n, name}, Fleet: f, Placer: p, Client: forward.NewClient(testHeaders, links, p.Announce, nil), Diagnose: links.DiagnoseSilent,
		FailedRuns: n.failedRuns, Table: func() *routing.Table { n.whileFrozen(name); return n.tableOf(name, table) }, MemoryBytes: 256 << 20, Readable: 2 * time.Minute, Log: log,
		IsHub: func() bool { return n.isHub(name) }, HubSweeps: func() bool { return n.hubSweeps(name) }, Hub: n.hub,
		HubWaiting:     func(context.Context) (map[string]int64, error) { return n.hubWaiting(name) },
		ReserveWaiting: func(_ context.Context, r quota.Reservation) (int64, error) { return n.reserveWaiting(name, r) },
	})
	n.mu.Lock()
	n.nodes[name] = c
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	go n.reportAsHub(ctx, f, name)
	t.Cleanup(func() { cancel(); <-done })
	return &node{c, f, p, cancel, done}
}

// upstream returns the engine as an upstream.
func (e *engine) upstream() dispatch.Upstream {
	return dispatch.Upstream{ID: "u" + e.URL, Address: strings.TrimPrefix(e.URL, "http://"), Service: "model", Slots: 64, SoftwareVersion: e.version}
}

// reportAsHub reports to a node which others are unresponsive, as the hub does in its answers to load reports.
func (n *network) reportAsHub(ctx context.Context, f *fleet.Fleet, name string) {
	for ctx.Err() == nil {
		n.whileFrozen(name)
		n.mu.Lock()
		n.frozenMu.Lock()
		var unresponsive []string
		for other, f := range n.frozen {
			if time.Since(f.since) > unresponsiveAfter {
				unresponsive = append(unresponsive, other)
			}
		}
		n.frozenMu.Unlock()
		for other := range n.cut {
			if !n.unreported {
				unresponsive = append(unresponsive, other)
			}
		}
		if !n.cut[name] {
			f.SetHubReport(unresponsive, nil)
			f.Confirm(time.Now(), false)
		}
		n.mu.Unlock()
		_, _ = n.hubLedger(name) // Each node reports regularly.
		time.Sleep(50 * time.Millisecond)
	}
}

func submission(id string, items int) Submission {
	s := Submission{ID: id, Host: testHost, Path: "/b/" + id}
	for n := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-item%d", id, n), Path: "/b/x", Body: []byte(fmt.Sprint("body ", n))})
	}
	return s
}

// readAll reads a job, each time from the next position, until it has all results. It fails the test if that takes
// longer than within.
func readAll(t *testing.T, c *Controller, id string, within time.Duration) []Result {
	t.Helper()
	var results []Result
	for until := time.Now().Add(within); ; {
		l, err := c.Read(context.Background(), id, len(results), 200*time.Millisecond)
		assert.NilError(t, err)
		results = append(results, l.Results...)
		if len(results) == l.Total {
			return results
		}
		assert.Assert(t, time.Now().Before(until), "%d of %d results after %s", len(results), l.Total, within)
	}
}

func checkResults(t *testing.T, e *engine, results []Result) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		assert.Assert(t, !seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		assert.Equal(t, r.State, Completed)
		assert.Equal(t, r.Text, e.text(r.ID))
	}
}
