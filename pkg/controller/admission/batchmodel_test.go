package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilplank.example/pkg/serving"
)

// sequence is one run in runStepped. done is closed when the run has generated its tokens.
type sequence struct {
	tokens, generated int
	missing           int
	first             time.Time
	progress          func(int)
	done              chan struct{}
}

// stepped is the state of a modelEngine that advances all sequences by one token per step, as the stand-in engine does:
// new sequences join at the next step, a cancelled one frees its slot at once, and prefill lengthens the step for all.
type stepped struct {
	waiting, running []*sequence
	looping          bool
}

// runStepped executes a request that has generated the given number of tokens before; missing is the number of blocks
// to prefill.
func (e *modelEngine) runStepped(ctx context.Context, missing, from, tokens int, progress func(int)) serving.Usage {
	began := time.Now()
	s := &sequence{tokens: tokens, generated: from, missing: missing, progress: progress, done: make(chan struct{})}
	e.mu.Lock()
	e.steps.waiting = append(e.steps.waiting, s)
	if !e.steps.looping {
		e.steps.looping = true
		go e.loop()
	}
	e.mu.Unlock()
	u := serving.Usage{Result: serving.RunOK}
	select {
	case <-s.done:
	case <-ctx.Done():
		u.Result = serving.RunCancelled
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	isSequence := func(o *sequence) bool { return o == s }
	e.steps.waiting, e.steps.running = slices.DeleteFunc(e.steps.waiting, isSequence), slices.DeleteFunc(e.steps.running, isSequence)
	u.Duration, u.Tokens = time.Since(began), s.generated
	if !s.first.IsZero() {
		u.FirstToken = s.first.Sub(began)
		u.BetweenTokens = (u.Duration - u.FirstToken) / time.Duration(max(1, s.generated-from-1))
	}
	return u
}

// admit starts waiting sequences and returns the length of the next step; 0 ends the loop.
func (e *modelEngine) admit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var prefill time.Duration
	for len(e.steps.waiting) > 0 && len(e.steps.running) < e.slots {
		prefill += time.Duration(e.steps.waiting[0].missing) * e.block
		e.steps.running = append(e.steps.running, e.steps.waiting[0])
		e.steps.waiting = e.steps.waiting[1:]
	}
	n := len(e.steps.running)
	e.running, e.waiting = n, len(e.steps.waiting)
	if n == 0 {
		e.steps.looping = false
		return 0
	}
	return prefill + e.token + e.token*time.Duration(5*(n-1))/100
}

func (e *modelEngine) loop() {
	for {
		d := e.admit()
		if d == 0 {
			return
		}
		time.Sleep(d)
		e.mu.Lock()
		for _, s := range slices.Clone(e.steps.running) {
			s.generated++
			s.progress(s.generated)
			if s.first.IsZero() {
				s.first = time.Now()
			}
			if s.generated >= s.tokens {
				e.steps.running = slices.DeleteFunc(e.steps.running, func(o *sequence) bool { return o == s })
				close(s.done)
			}
		}
		e.mu.Unlock()
	}
}

// burst is an arrival pattern: in the time length at the end of each period, arrivals come at factor times the base
// rate.
type burst struct {
	factor        float64
	every, length time.Duration
}

func (b burst) rate(mean float64, at time.Duration) float64 {
	base := mean / (1 + (b.factor-1)*b.length.Seconds()/b.every.Seconds())
	if at%b.every >= b.every-b.length {
		return base * b.factor
	}
	return base
}

// onlineResult holds the first-token times and total times of online requests, and the sum of their times in engines.
type onlineResult struct {
	first, whole *hdrhistogram.Histogram
	engineTime   time.Duration
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e3
}

// driveBursts sends requests in the pattern for the given time and waits for all answers.
func (f *fleet) driveBursts(mean float64, b burst, length time.Duration) onlineResult {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	out := onlineResult{first: newHistogram(), whole: newHistogram()}
	rnd := rand.New(rand.NewPCG(11, 13))
	results := make(chan [3]time.Duration, 1<<16)
	began, n := time.Now(), 0
	for at := time.Duration(0); at < length; n++ {
		at += time.Duration(rnd.ExpFloat64() / b.rate(mean, at) * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		node := rnd.IntN(benchNodes)
		go func() { results <- f.runOnline(node) }()
	}
	for range n {
		r := <-results
		_ = out.first.RecordValue(int64(r[0] / time.Microsecond))
		_ = out.whole.RecordValue(int64(r[1] / time.Microsecond))
		out.engineTime += r[2]
	}
	return out
}

// onlineTokens and onlineBlocks are the sizes of an online request of driveBursts.
const (
	onlineTokens = 24
	onlineBlocks = 1
)

// runOnline runs one request and returns its first-token time, its total time and its time in the engine.
func (f *fleet) runOnline(node int) [3]time.Duration {
	began := time.Now()
	c := f.net.nodes[fmt.Sprint("n", node)].c
	r := request(c.newTicket())
	r.MaxTokens, r.Deadline = onlineTokens, began.Add(10*time.Second)
	slot, err := c.Acquire(context.Background(), r)
	if err != nil {
		return [3]time.Duration{10 * time.Second, 10 * time.Second, 0}
	}
	sent := time.Since(began)
	u := f.engines[slot.Upstream.Name].runStepped(context.Background(), onlineBlocks, 0, onlineTokens, func(int) {})
	c.Release(slot, u)
	return [3]time.Duration{sent + u.FirstToken, sent + u.Duration, u.Duration}
}
