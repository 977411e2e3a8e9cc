package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/serving"
)

// modelEngine simulates an engine with continuous batching. It has a fixed number of slots, admits in arrival order,
// takes more time between tokens the more requests run, prefills the blocks that are not in its bounded prefix cache,
// and reports its load with a delay.
type modelEngine struct {
	slots       int
	token       time.Duration
	block       time.Duration
	cacheBlocks int
	loadDelay   time.Duration

	gate chan struct{}
	mu   sync.Mutex
	// running and waiting are the current values; reported is what a poll returns.
	running, waiting int
	reported         upstreams.Load
	cache            map[uint64]int64
	clock            int64
	events           []placement.CacheEvent
	hits, blocks     int
	// steps is used by runStepped only.
	steps stepped
}

func newModelEngine(slots int, token time.Duration) *modelEngine {
	return &modelEngine{slots: slots, token: token, block: 2 * time.Millisecond, cacheBlocks: 256, loadDelay: 500 * time.Millisecond,
		gate: make(chan struct{}, slots), cache: map[uint64]int64{}}
}

// interval returns the current time between tokens, which in a full engine is 1.7 times that of an idle one.
func (e *modelEngine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token + e.token*7*time.Duration(e.running)/time.Duration(10*e.slots)
}

// run executes a request and returns the usage that a caller measures from the time of sending.
func (e *modelEngine) run(ctx context.Context, hashes []uint64, tokens int, progress func(int)) serving.Usage {
	began := time.Now()
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	select {
	case e.gate <- struct{}{}:
	case <-ctx.Done():
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
		return serving.Usage{Result: serving.RunCancelled}
	}
	e.mu.Lock()
	e.waiting--
	e.running++
	missing := e.prefill(hashes)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		<-e.gate
	}()
	time.Sleep(time.Duration(missing) * e.block)
	u := serving.Usage{Result: serving.RunOK}
	for i := range tokens {
		time.Sleep(e.interval())
		if i == 0 {
			u.FirstToken = time.Since(began)
		}
		progress(i + 1)
		if ctx.Err() != nil {
			u.Result = serving.RunCancelled
			break
		}
	}
	u.Duration, u.Tokens = time.Since(began), tokens
	u.BetweenTokens = (u.Duration - u.FirstToken) / time.Duration(max(1, tokens-1))
	return u
}

// prefill returns the number of blocks that must be computed and updates the cache; e.mu is held.
func (e *modelEngine) prefill(hashes []uint64) (missing int) {
	cached := 0
	for _, h := range hashes {
		if _, ok := e.cache[h]; !ok {
			break
		}
		cached++
	}
	e.hits, e.blocks = e.hits+cached, e.blocks+len(hashes)
	// The last blocks of a prompt are evicted first, as in engines that keep blocks as a tree of prefixes.
	for _, h := range slices.Backward(hashes) {
		e.clock++
		e.cache[h] = e.clock
	}
	if cached < len(hashes) {
		e.event(placement.CacheStored, hashes[cached:])
	}
	for len(e.cache) > e.cacheBlocks {
		var oldest uint64
		at := e.clock + 1
		for h, c := range e.cache {
			if c < at {
				oldest, at = h, c
			}
		}
		delete(e.cache, oldest)
		e.event(placement.CacheEvicted, []uint64{oldest})
	}
	return len(hashes) - cached
}

func (e *modelEngine) event(k placement.CacheEventKind, hashes []uint64) {
	seq := int64(1)
	if n := len(e.events); n > 0 {
		seq = e.events[n-1].Seq + 1
	}
	e.events = append(e.events, placement.CacheEvent{Seq: seq, Kind: k, Hashes: hashes})
}

// modelProber polls the simulated engines; a tenth of the cache events is missing.
type modelProber map[string]*modelEngine

func (p modelProber) Load(_ context.Context, u api.Upstream) (upstreams.Load, error) {
	e := p[u.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reported.At) > e.loadDelay {
		e.reported = upstreams.Load{Running: e.running, Waiting: e.waiting, Slots: e.slots, At: now}
	}
	return e.reported, nil
}

func (p modelProber) State(context.Context, api.Upstream) (upstreams.State, error) {
	return upstreams.State{Models: []string{"m"}}, nil
}

func (p modelProber) CacheEvents(_ context.Context, u api.Upstream, after int64) (upstreams.Events, error) {
	e := p[u.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	var out upstreams.Events
	for _, ev := range e.events[min(int(after), len(e.events)):] {
		if rand.Float64() > 0.1 {
			out.Events = append(out.Events, ev)
		}
	}
	return out, nil
}
