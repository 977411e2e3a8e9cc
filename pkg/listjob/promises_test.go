package listjob

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// lateStore refuses calls on jobs, is slow, loses answers, or carries writes out without an answer up to maxLate later, while it is on.
type lateStore struct {
	store.Store
	mu  sync.Mutex
	on  bool
	rng *rand.Rand
}

// maxLate is by how long a write without an answer is late at most, and lostCallTimeout how long the call waits for the answer.
const maxLate, lostCallTimeout = 3 * time.Second, 500 * time.Millisecond

// next returns a number that selects a fault, below 9, and a delay; 0 selects none.
func (s *lateStore) next() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.on {
		return 0, 0
	}
	return s.rng.IntN(9), time.Duration(s.rng.Int64N(int64(maxLate)))
}

func (s *lateStore) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	fault, delay := s.next()
	silent := func() (int64, error) {
		select {
		case <-ctx.Done():
		case <-time.After(lostCallTimeout):
		}
		return 0, store.ErrUnknown
	}
	switch fault {
	case 1, 2:
		time.Sleep(delay / 5)
	case 3, 4:
		return 0, store.ErrUnavailable
	case 5, 6:
		if _, err := s.Store.Put(ctx, key, value, expect); err != nil {
			return 0, errors.Join(store.ErrUnknown, err)
		}
		return silent()
	case 7, 8:
		time.AfterFunc(delay, func() { _, _ = s.Store.Put(context.Background(), key, value, expect) }) // The condition may not hold any more.
		return silent()
	}
	return s.Store.Put(ctx, key, value, expect)
}

func (s *lateStore) Get(ctx context.Context, key string) (store.Object, error) {
	switch fault, delay := s.next(); fault {
	case 1, 2:
		time.Sleep(delay / 5)
		o, err := s.Store.Get(ctx, key)
		time.Sleep(delay / 5) // The answer is late, too.
		return o, err
	case 3, 4:
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// promise is what callers were told of a job.
type promise struct {
	refused bool
	endedAt time.Time
}

// cancelWithin is how long after the confirmation of a job's end its items may still begin.
const cancelWithin = 3 * time.Second

// manyJobsLimit is the limit on the waiting tokens of the route with one, that of about thirty jobs.
const manyJobsLimit = 10 * quotaLimit

// promiseRun submits and ends jobs while nodes and the store fail.
type promiseRun struct {
	nodes []*node
	net   *network
	store *lateStore
	mu    sync.Mutex
	told  map[string]promise
	runs  map[string]time.Time // The last run of an item of each job.
}

// job submits a job at one to three nodes and ends it at times.
func (p *promiseRun) job(rng *rand.Rand, id string) {
	anyNode := func() *node { return p.nodes[rng.IntN(len(p.nodes))] }
	attempts, accepted, refusals := 1+rng.IntN(3), false, 0
	for n := 0; n < attempts && !accepted; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := anyNode().Accept(ctx, sizedJob(id, 3))
		cancel()
		accepted = err == nil
		if errors.Is(err, ErrRefused) {
			refusals++
		}
	}
	if refusals == attempts {
		p.mu.Lock()
		p.told[id] = promise{refused: true}
		p.mu.Unlock()
		return
	}
	if !accepted || rng.IntN(3) == 0 {
		return
	}
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	for n := 0; n < 20; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := anyNode().End(ctx, id)
		cancel()
		if err == nil {
			p.mu.Lock()
			p.told[id] = promise{endedAt: time.Now()}
			p.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// disturb stops nodes and lets the store fail until ctx ends.
func (p *promiseRun) disturb(ctx context.Context, rng *rand.Rand, names []string) {
	for ctx.Err() == nil {
		p.store.set(rng.IntN(2) == 0)
		wake := func() {}
		if rng.IntN(2) == 0 {
			wake = p.net.freeze(names[rng.IntN(len(names))])
		}
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		wake()
		p.store.set(false)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
}

// Guards against a job that runs although it was refused, or on after its end was confirmed, because nodes don't run for up to 3 s or the store
// carries writes out up to 3 s later.
func TestPromisesHoldWhileNodesAndStoreFail(t *testing.T) {
	for _, seed := range promiseSeeds(t) {
		for _, limit := range []int64{0, manyJobsLimit} {
			t.Run(fmt.Sprint(seed, "/", limit), func(t *testing.T) {
				t.Parallel()
				testPromises(t, seed, limit)
			})
		}
	}
}

func testPromises(t *testing.T, seed uint64, limit int64) {
	s := &lateStore{Store: memstore.New(), rng: rand.New(rand.NewPCG(seed, 0))}
	net, e := newNetwork(), newEngine(t, 8, 50*time.Millisecond)
	net.waitingLimit = limit
	names := []string{"a", "b", "c"}
	p := &promiseRun{net: net, store: s, told: map[string]promise{}, runs: map[string]time.Time{}}
	e.fail = func(id string, run int) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		job, _, _ := strings.Cut(id, "-item")
		p.runs[job] = time.Now()
		if run < 12 {
			return 503 // Items go on for as long as nobody ends them.
		}
		return 0
	}
	for n, name := range names {
		p.nodes = append(p.nodes, net.addNode(t, s, e, name, append(append([]string{}, names[:n]...), names[n+1:]...)...))
	}
	ctx, cancel := context.WithTimeout(context.Background(), promiseTime)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 1))
	var all sync.WaitGroup
	faults := rand.New(rand.NewPCG(seed, 2))
	all.Go(func() { p.disturb(ctx, faults, names) })
	for n := 0; ctx.Err() == nil; n++ {
		one := rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() { p.job(one, fmt.Sprint("j", n)) })
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
	}
	all.Wait()
	time.Sleep(maxLate + cancelWithin)
	p.mu.Lock()
	defer p.mu.Unlock()
	refused, ended := 0, 0
	for id, told := range p.told {
		last, ran := p.runs[id]
		switch {
		case told.refused:
			refused++
			assert.Check(t, !ran, "job %s was refused and has run", id)
		default:
			ended++
			assert.Check(t, !last.After(told.endedAt.Add(cancelWithin)), "job %s ran %s after the confirmation of its end", id, last.Sub(told.endedAt))
		}
	}
	t.Log("refused", refused, "ended", ended, "jobs that ran", len(p.runs))
	assert.Assert(t, refused > 0 && ended > 0, "%d jobs refused, %d ended", refused, ended)
}

// promiseTime is how long jobs come.
const promiseTime = 12 * time.Second

// promiseSeeds returns the seeds of a run, or as many from 1 on as TREFOILPLANK_PROMISE_SEEDS says.
func promiseSeeds(t *testing.T) []uint64 {
	text, seeds := os.Getenv("TREFOILPLANK_PROMISE_SEEDS"), []uint64{1}
	if text == "" {
		return seeds
	}
	count, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	for seed := uint64(2); seed <= count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}
