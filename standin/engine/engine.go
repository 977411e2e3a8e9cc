// Package engine is a stand-in for a model engine. It batches continuously within slot and KV limits, admits requests
// in arrival order, keeps a prefix cache with eviction, generates deterministic text, serves resumable streams, carries
// out orders with fencing tokens and injects faults.
package engine

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/standin/faults"
)

// Options configure one engine. Zero values are replaced as WithDefaults describes.
type Options struct {
	Name string
	// Models maps each model that is loaded at the start to its version.
	Models   map[string]string
	Adapters []string
	// Slots is the number of sequences that run at once.
	Slots int
	// KVTokens is the KV capacity in tokens.
	KVTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// TokenTime is the time between two tokens of a sequence that is the only one running.
	TokenTime time.Duration
	// Slowdown is the fraction of TokenTime that each further running sequence adds to the time between tokens.
	Slowdown float64
	// PrefillPerToken is the time to process one prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadTime is the time from a load order for a model until the model is loaded.
	LoadTime time.Duration
	// EnforceFencing refuses orders whose fencing token is lower than the highest one accepted.
	EnforceFencing bool
	// Seed determines which cache events EventsGap drops.
	Seed uint64
}

// WithDefaults returns o with zero values replaced by those of a small development engine.
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

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// CrashOn crashes the engine when it starts a request whose body holds this text.
	CrashOn string `json:"crash_on"`
	// CutStreamAfterTokens resets each stream connection after this many tokens; 0 resets none.
	CutStreamAfterTokens int `json:"cut_stream_after_tokens"`
	// SwapAnswers gives two requests in flight each other's answer.
	SwapAnswers bool `json:"swap_answers"`
	// TokenMs is the time between two tokens of a sequence that is the only one running.
	TokenMs int `json:"token_ms"`
	// LoadLagMs is the age of the load reports that GET /load returns.
	LoadLagMs int `json:"load_lag_ms"`
	// EventsGap is the probability that GET /cache/events leaves out a cache event.
	EventsGap float64 `json:"events_gap"`
	// Down ends all runs and resets every connection until it is set to false.
	Down bool `json:"down"`
	// RestartAfterMs is the time that the engine stays down after a crash.
	RestartAfterMs int `json:"restart_after_ms"`
	// FailLoads is a version that fails to load, whatever its model.
	FailLoads string `json:"fail_loads"`
}

// Engine is one stand-in engine. Create it with New and serve it over HTTP.
type Engine struct {
	options    Options
	mux        *http.ServeMux
	faults     *faults.Settings[Faults]
	executions faults.Executions
	swapper    faults.Swapper[*run]

	// mu guards the fields below except wake and stop.
	mu sync.Mutex
	// waiting holds the runs without a slot in arrival order.
	waiting []*run
	running []*run
	// runsByID maps request IDs to runs. Ended runs are kept for resumeWindow, so that their streams can be resumed.
	runsByID map[string]*run
	cache    *prefixCache
	orders   orderState
	// loadReports holds the latest load reports, oldest first.
	loadReports []loadReport
	// downUntil is when the engine is up again after its last crash.
	downUntil time.Time
	// wake receives a value when loop should check for runs to admit; Close closes stop.
	wake chan struct{}
	stop chan struct{}
}

// New starts an engine; Close stops it.
func New(o Options) *Engine {
	o = o.WithDefaults()
	e := &Engine{
		options: o, mux: http.NewServeMux(), runsByID: map[string]*run{}, cache: newPrefixCache(o.CacheBlocks, o.Seed),
		orders: newOrderState(o), wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	initialFaults := Faults{TokenMs: int(o.TokenTime / time.Millisecond), LoadLagMs: 100, RestartAfterMs: 1000}
	e.faults = faults.NewSettings(initialFaults, e.applyFaults)
	e.registerRoutes()
	go e.loop()
	return e
}

// Close stops the generation of tokens.
func (e *Engine) Close() { close(e.stop) }

// applyFaults ends all runs when the faults take the engine down.
func (e *Engine) applyFaults(f Faults) {
	if f.Down {
		e.mu.Lock()
		e.crashAllRuns()
		e.mu.Unlock()
	}
}

// isDown reports whether a fault takes the engine down or it is still restarting after a crash.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Get().Down || time.Now().Before(e.downUntil)
}

// ServeHTTP serves one call. While the engine is down, it resets the connection of every call outside /standin/.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/standin/") && e.isDown() {
		faults.ResetConnection(w)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// wakeLoop makes an idle loop check for waiting runs, without blocking.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop admits waiting runs and advances all running ones by one token per step, until Close.
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

// admit starts waiting runs in arrival order while slots and KV capacity last, and returns the duration of the next
// step, or 0 if nothing runs. A run that exceeds the KV capacity on its own is started once no other one is running.
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
		next.executionRow = e.executions.Start(next.request)
		e.running = append(e.running, next)
		next.state = stateRunning
		if f.CrashOn != "" && strings.Contains(string(next.body), f.CrashOn) {
			e.crash(f)
			return 0
		}
		uncached := next.promptTokens - blockTokens*e.cache.insert(next.blocks)
		if next.kvImported {
			continue
		}
		prefill += time.Duration(max(uncached, 0)) * e.options.PrefillPerToken
	}
	e.recordLoad()
	if len(e.running) == 0 {
		return 0
	}
	tokenTime := time.Duration(f.TokenMs) * time.Millisecond
	return prefill + time.Duration(float64(tokenTime)*(1+e.options.Slowdown*float64(len(e.running)-1)))
}

// kvUsed returns the KV tokens of all running sequences; e.mu is held.
func (e *Engine) kvUsed() int {
	used := 0
	for _, r := range e.running {
		used += r.kvTokens()
	}
	return used
}

// advance generates the next token of each running sequence and ends the runs that are complete.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unfinished []*run
	for _, r := range e.running {
		r.generated++
		if r.generated >= len(r.output) {
			e.finish(r, stateDone)
			continue
		}
		r.notify()
		unfinished = append(unfinished, r)
	}
	e.running = unfinished
	e.recordLoad()
}

// finish ends a run in state s and removes it from runsByID after resumeWindow. e.mu is held; the caller removes the
// run from waiting and running.
func (e *Engine) finish(r *run, s runState) {
	r.state = s
	if r.executionRow >= 0 {
		e.executions.End(r.executionRow, s == stateCancelled, s == stateCrashed)
	}
	r.notify()
	time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runsByID[r.id] == r {
			delete(e.runsByID, r.id)
		}
	})
}

// cancel ends a run that is waiting or running; it does nothing to a run that has ended.
func (e *Engine) cancel(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != stateWaiting && r.state != stateRunning {
		return
	}
	e.waiting = removeRun(e.waiting, r)
	e.running = removeRun(e.running, r)
	e.finish(r, stateCancelled)
	e.wakeLoop()
}

// removeRun returns runs without r.
func removeRun(runs []*run, r *run) []*run {
	var remaining []*run
	for _, other := range runs {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	return remaining
}

// crash ends all runs, empties the prefix cache and takes the engine down for f.RestartAfterMs; e.mu is held.
func (e *Engine) crash(f Faults) {
	e.downUntil = time.Now().Add(time.Duration(f.RestartAfterMs) * time.Millisecond)
	e.crashAllRuns()
	e.cache.clear()
}

// crashAllRuns ends all runs as crashed and removes them from runsByID, so that none can be resumed; e.mu is held.
func (e *Engine) crashAllRuns() {
	for _, r := range append(e.waiting, e.running...) {
		e.finish(r, stateCrashed)
	}
	e.waiting, e.running = nil, nil
	e.runsByID = map[string]*run{}
}

// loadReport is the engine's load at the time At, as GET /load returns it.
type loadReport struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Slots      int       `json:"slots"`
	KVUsed     int       `json:"kv_used"`
	KVCapacity int       `json:"kv_capacity"`
	At         time.Time `json:"at"`
}

// maxLoadReports bounds the load reports kept for LoadLagMs; when it is exceeded, only the newest half is kept.
const maxLoadReports = 4096

// recordLoad appends a report of the present load; e.mu is held.
func (e *Engine) recordLoad() {
	e.loadReports = append(e.loadReports, loadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.options.Slots,
		KVUsed: e.kvUsed(), KVCapacity: e.options.KVTokens, At: time.Now(),
	})
	if len(e.loadReports) > maxLoadReports {
		e.loadReports = append([]loadReport(nil), e.loadReports[maxLoadReports/2:]...)
	}
}

// laggingLoad returns the newest load report that is at least lag old, or an idle one if there is none.
func (e *Engine) laggingLoad(lag time.Duration) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-lag)
	for i := len(e.loadReports) - 1; i >= 0; i-- {
		if !e.loadReports[i].At.After(cutoff) {
			return e.loadReports[i]
		}
	}
	return loadReport{Slots: e.options.Slots, KVCapacity: e.options.KVTokens, At: cutoff}
}
