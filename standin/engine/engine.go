// Package engine is a stand-in for a model engine: continuous batching with slot and KV limits, a prefix cache with
// eviction, admission in arrival order, deterministic text, resumable streams, fenced orders and injected faults.
package engine

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/standin/faults"
)

// Options describe one engine.
type Options struct {
	Name string
	// Models are loaded at the start, with their versions.
	Models   map[string]string
	Adapters []string
	// Slots is the number of sequences that run at once.
	Slots int
	// KVTokens is the KV capacity in tokens.
	KVTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// TokenTime is the time between tokens of a sequence that runs alone.
	TokenTime time.Duration
	// Slowdown is the part by which each further running sequence lengthens the time between tokens.
	Slowdown float64
	// PrefillPerToken is the time to process one prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadTime is the time to load a model after an order.
	LoadTime time.Duration
	// EnforceFencing refuses orders with a stale fencing token.
	EnforceFencing bool
	Seed           uint64
}

// WithDefaults fills in the values of a small development engine.
func (o Options) WithDefaults() Options {
	o.Slots = orDefault(o.Slots, 8)
	o.KVTokens = orDefault(o.KVTokens, 16384)
	o.CacheBlocks = orDefault(o.CacheBlocks, 512)
	o.TokenTime = orDefault(o.TokenTime, 8*time.Millisecond)
	o.Slowdown = orDefault(o.Slowdown, 0.05)
	o.PrefillPerToken = orDefault(o.PrefillPerToken, 20*time.Microsecond)
	o.LoadTime = orDefault(o.LoadTime, 300*time.Millisecond)
	return o
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// CrashOn crashes the engine when it starts a request whose body holds this text.
	CrashOn string `json:"crash_on"`
	// CutStreamAfterTokens cuts each stream connection after this many tokens; 0 cuts none.
	CutStreamAfterTokens int  `json:"cut_stream_after_tokens"`
	SwapAnswers          bool `json:"swap_answers"`
	TokenMs              int  `json:"token_ms"`
	// LoadLagMs is the age of the load report.
	LoadLagMs int `json:"load_lag_ms"`
	// EventsGap is the part of cache events that is never published.
	EventsGap float64 `json:"events_gap"`
	// Down breaks each connection until it is set to false.
	Down bool `json:"down"`
	// RestartAfterMs is the time that a crashed engine stays down.
	RestartAfterMs int `json:"restart_after_ms"`
	// FailLoads names a model version that fails to load.
	FailLoads string `json:"fail_loads"`
}

// Engine is one stand-in engine. Create it with New and serve it over HTTP.
type Engine struct {
	options    Options
	mux        *http.ServeMux
	faults     *faults.Settings[Faults]
	executions faults.Executions
	swapper    faults.Swapper[*run]

	mu      sync.Mutex
	waiting []*run
	running []*run
	// byID keeps runs for a time after their end, so that streams can be resumed.
	byID      map[string]*run
	cache     *prefixCache
	orders    orderState
	loads     []loadReport
	downUntil time.Time
	wake      chan struct{}
	stop      chan struct{}
}

// New starts an engine; Close ends it.
func New(o Options) *Engine {
	o = o.WithDefaults()
	e := &Engine{
		options: o, mux: http.NewServeMux(), byID: map[string]*run{}, cache: newPrefixCache(o.CacheBlocks, o.Seed),
		orders: newOrderState(o), wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	start := Faults{TokenMs: int(o.TokenTime / time.Millisecond), LoadLagMs: 100, RestartAfterMs: 1000}
	e.faults = faults.NewSettings(start, e.applyFaults)
	e.routes()
	go e.loop()
	return e
}

// Close ends the engine's loop.
func (e *Engine) Close() { close(e.stop) }

func (e *Engine) applyFaults(f Faults) {
	if f.Down {
		e.mu.Lock()
		e.breakAll()
		e.mu.Unlock()
	}
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Get().Down || time.Now().Before(e.downUntil)
}

// ServeHTTP serves one call, or breaks its connection while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/standin/") && e.isDown() {
		faults.Break(w)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// signal wakes the loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop advances all running sequences by one token a step.
func (e *Engine) loop() {
	for {
		step := e.admit()
		if step == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		select {
		case <-time.After(step):
			e.advance()
		case <-e.stop:
			return
		}
	}
}

// admit starts waiting runs in arrival order as slots and KV allow, and returns the duration of the next step; 0 when idle.
func (e *Engine) admit() time.Duration {
	f := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	var prefill time.Duration
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		next := e.waiting[0]
		if e.kvUsed()+next.kvTokens() > e.options.KVTokens && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		next.row = e.executions.Start(next.request)
		e.running = append(e.running, next)
		next.state = stateRunning
		if f.CrashOn != "" && strings.Contains(string(next.body), f.CrashOn) {
			e.crash(f)
			return 0
		}
		uncached := next.promptTokens - blockTokens*e.cache.use(next.blocks)
		if next.imported {
			continue
		}
		prefill += time.Duration(max(uncached, 0)) * e.options.PrefillPerToken
	}
	e.recordLoad()
	if len(e.running) == 0 {
		return 0
	}
	base := time.Duration(f.TokenMs) * time.Millisecond
	return prefill + time.Duration(float64(base)*(1+e.options.Slowdown*float64(len(e.running)-1)))
}

func (e *Engine) kvUsed() int {
	used := 0
	for _, r := range e.running {
		used += r.kvTokens()
	}
	return used
}

// advance gives each running sequence its next token and ends the finished ones.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var still []*run
	for _, r := range e.running {
		r.generated++
		if r.generated >= len(r.output) {
			e.finish(r, stateDone)
			continue
		}
		r.notify()
		still = append(still, r)
	}
	e.running = still
	e.recordLoad()
}

// finish ends a run; the caller has removed it from the lists or is about to.
func (e *Engine) finish(r *run, s runState) {
	r.state = s
	if r.row >= 0 {
		e.executions.End(r.row, s == stateCancelled, s == stateCrashed)
	}
	r.notify()
	time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.byID[r.id] == r {
			delete(e.byID, r.id)
		}
	})
}

// cancel ends a run that is waiting or running.
func (e *Engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != stateWaiting && r.state != stateRunning {
		return
	}
	e.waiting = without(e.waiting, r)
	e.running = without(e.running, r)
	e.finish(r, stateCancelled)
	e.signal()
}

func without(list []*run, r *run) []*run {
	var kept []*run
	for _, x := range list {
		if x != r {
			kept = append(kept, x)
		}
	}
	return kept
}

// crash ends all runs and keeps the engine down for a time; it comes back with an empty cache.
func (e *Engine) crash(f Faults) {
	e.downUntil = time.Now().Add(time.Duration(f.RestartAfterMs) * time.Millisecond)
	e.breakAll()
	e.cache.clear()
}

func (e *Engine) breakAll() {
	for _, r := range append(e.waiting, e.running...) {
		e.finish(r, stateCrashed)
	}
	e.waiting, e.running = nil, nil
	e.byID = map[string]*run{}
}

// loadReport is the engine's load at one time.
type loadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Slots      int       `json:"slots"`
	KVUsed     int       `json:"kv_used"`
	KVCapacity int       `json:"kv_capacity"`
	At         time.Time `json:"at"`
}

// loadHistory is the number of load reports kept to serve lagging ones.
const loadHistory = 4096

func (e *Engine) recordLoad() {
	e.loads = append(e.loads, loadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.options.Slots,
		KVUsed: e.kvUsed(), KVCapacity: e.options.KVTokens, At: time.Now(),
	})
	if len(e.loads) > loadHistory {
		e.loads = append([]loadReport(nil), e.loads[loadHistory/2:]...)
	}
}

// laggingLoad returns the newest report that is at least lag old.
func (e *Engine) laggingLoad(lag time.Duration) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-lag)
	for i := len(e.loads) - 1; i >= 0; i-- {
		if !e.loads[i].At.After(limit) {
			return e.loads[i]
		}
	}
	return loadReport{Slots: e.options.Slots, KVCapacity: e.options.KVTokens, At: limit}
}
