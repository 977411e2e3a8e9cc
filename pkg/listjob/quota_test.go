package listjob

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// itemTokens is the size of each item of sized jobs, and quotaLimit the limit of the route in these tests: ten items.
const itemTokens, quotaLimit = 100, 1000

// sizedJob returns a job of items that have itemTokens each.
func sizedJob(id string, items int) Submission {
	s := submission(id, items)
	for i := range s.Items {
		s.Items[i].Tokens = itemTokens
	}
	return s
}

// quotaFleet starts nodes before an engine on which each item takes about itemTime.
func quotaFleet(t *testing.T, s store.Store, itemTime time.Duration, names ...string) (*network, *engine, []*node) {
	net, e := newNetwork(), newEngine(t, 10, itemTime/10)
	net.waitingLimit = quotaLimit
	var nodes []*node
	for _, name := range names {
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, other)
			}
		}
		nodes = append(nodes, net.addNode(t, s, e, name, others...))
	}
	return net, e, nodes
}

// isFull reports whether a job was refused because it does not fit now.
func isFull(err error) bool {
	var full *FullError
	return errors.As(err, &full) && errors.Is(err, ErrRefused) && full.RetryAfter > 0
}

// Guards against nodes that each accept jobs up to the limit, so that all together exceed it, and against refusing jobs
// that fit while all nodes ask for the last tenth at the same time.
func TestWaitingTokensStayBelowTheLimitOfAllNodes(t *testing.T) {
	s := memstore.New()
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	_, _, nodes := quotaFleet(t, s, 20*time.Second, names...)
	assert.NilError(t, nodes[0].Accept(context.Background(), sizedJob("first", 8)))
	var accepted, full atomic.Int64
	var all sync.WaitGroup
	for n, node := range nodes {
		all.Go(func() {
			switch err := node.Accept(context.Background(), sizedJob(fmt.Sprint("j", n), 1)); {
			case err == nil:
				accepted.Add(1)
			case isFull(err):
				full.Add(1)
			default:
				t.Errorf("%v", err)
			}
		})
	}
	all.Wait()
	assert.Equal(t, accepted.Load(), int64(2), "jobs of one item beside eight of ten")
	assert.Equal(t, full.Load(), int64(6))
}

// Guards against tokens that are not given back within a second after items have finished, been rejected for good, or after
// the job was ended.
func TestFinishedRejectedAndEndedItemsGiveTokensBack(t *testing.T) {
	for name, c := range map[string]struct {
		itemTime time.Duration
		status   int
		end      bool
	}{
		"finished": {100 * time.Millisecond, 0, false}, "rejected": {time.Hour, 422, false}, "failed": {time.Hour, 500, false}, "ended": {time.Hour, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, e, nodes := quotaFleet(t, memstore.New(), c.itemTime, "a", "b")
			e.fail = func(id string, _ int) int {
				if strings.HasPrefix(id, "big") {
					return c.status
				}
				return 0
			}
			assert.NilError(t, nodes[0].Accept(context.Background(), sizedJob("big", 10)))
			if c.end {
				assert.Assert(t, isFull(nodes[1].Accept(context.Background(), sizedJob("too early", 1))))
				assert.NilError(t, nodes[1].End(context.Background(), "big"))
			}
			until := time.Now().Add(5 * time.Second)
			for waiting := int64(1); waiting > 0; time.Sleep(5 * time.Millisecond) {
				waiting = nodes[0].Waiting()["big"].Tokens
				assert.Assert(t, time.Now().Before(until), "%d tokens still wait", waiting)
			}
			time.Sleep(time.Second)
			assert.NilError(t, nodes[1].Accept(context.Background(), sizedJob("next", 10)))
		})
	}
}

// Guards against a refused job that runs nevertheless, is found by readers, or can't be submitted again once it fits.
func TestRefusedJobDoesNotRunAndMayComeAgain(t *testing.T) {
	s := memstore.New()
	_, e, nodes := quotaFleet(t, s, 30*time.Second, "a", "b")
	assert.NilError(t, nodes[0].Accept(context.Background(), sizedJob("big", 10)))
	assert.Assert(t, isFull(nodes[1].Accept(context.Background(), sizedJob("again", 3))))
	_, err := nodes[0].Read(context.Background(), "again", 0, 0)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorIs(t, nodes[0].End(context.Background(), "again"), ErrNotFound)
	time.Sleep(2 * sweepInterval) // Sweeps find the head of the refused job.
	e.mu.Lock()
	for id := range e.runs {
		assert.Assert(t, strings.HasPrefix(id, "big"), id)
	}
	e.mu.Unlock()
	assert.NilError(t, nodes[0].End(context.Background(), "big"))
	assert.NilError(t, nodes[0].Accept(context.Background(), sizedJob("again", 3)))
	l, err := nodes[1].Read(context.Background(), "again", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, l.Total, 3)
}

// Guards against a job that can never fit being invited to come again, and against storing it.
func TestJobLargerThanTheLimitGetsItsOwnError(t *testing.T) {
	s := memstore.New()
	_, _, nodes := quotaFleet(t, s, time.Second, "a")
	err := nodes[0].Accept(context.Background(), sizedJob("huge", 11))
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.ErrorIs(t, err, ErrRefused)
	assert.Assert(t, !isFull(err))
	heads, listErr := store.ListAll(context.Background(), s, headKind)
	assert.NilError(t, listErr)
	assert.Equal(t, len(heads.Objects), 0)
}

// Guards against a count that starts at zero at a node that is cut off from the hub, starts anew or after the owner of the
// waiting jobs was lost.
func TestLimitHoldsWithoutTheHubAndAfterRestarts(t *testing.T) {
	s := memstore.New()
	net, e, nodes := quotaFleet(t, s, 30*time.Second, "a", "b")
	assert.NilError(t, nodes[0].Accept(context.Background(), sizedJob("big", 9)))
	net.cutOff("b", true)
	assert.Assert(t, isFull(nodes[1].Accept(context.Background(), sizedJob("cut", 2))))
	assert.NilError(t, nodes[1].Accept(context.Background(), sizedJob("fits", 1)))
	for _, n := range nodes {
		n.stop()
	}
	restarted := newNetwork()
	restarted.waitingLimit = quotaLimit
	c := restarted.addNode(t, s, e, "c")
	assert.Assert(t, isFull(c.Accept(context.Background(), sizedJob("after restart", 1))))
}

// Guards against exceeding the limit or confirming a refused job while the store loses answers and delays writes, and against
// jobs that stay undecided afterwards.
func TestLimitHoldsWhileTheStoreLosesAnswers(t *testing.T) {
	s := &lossyStore{Store: memstore.New(), rng: rand.New(rand.NewPCG(7, 7))}
	_, e, nodes := quotaFleet(t, s, 30*time.Second, "a", "b", "c")
	s.lose.Store(true)
	var mu sync.Mutex
	accepted := map[string]bool{}
	var all sync.WaitGroup
	for n := range 24 {
		all.Go(func() {
			id := fmt.Sprint("j", n)
			for try := range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := nodes[(n+try)%len(nodes)].Accept(ctx, sizedJob(id, 2))
				cancel()
				if err == nil {
					mu.Lock()
					accepted[id] = true
					mu.Unlock()
					return
				}
			}
		})
	}
	all.Wait()
	s.lose.Store(false)
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(accepted)*2*itemTokens <= quotaLimit, "%d jobs accepted", len(accepted))
	assert.Assert(t, len(accepted) > 0)
	time.Sleep(3 * time.Second) // Withdrawals that got no answer are repeated.
	for _, n := range nodes {
		n.mu.Lock()
		assert.Equal(t, len(n.undecided), 0)
		n.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := map[string]bool{}
	for id := range e.runs {
		job, _, _ := strings.Cut(id, "-")
		running[job] = true
	}
	assert.Assert(t, len(running)*2*itemTokens <= quotaLimit, "%d jobs run", len(running))
}

// lossyStore loses the answers of a third of the writes, half of which take effect.
type lossyStore struct {
	store.Store
	lose atomic.Bool
	mu   sync.Mutex
	rng  *rand.Rand
}

func (s *lossyStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.mu.Lock()
	draw := s.rng.Float64()
	s.mu.Unlock()
	if !s.lose.Load() || draw > 1.0/3 {
		return s.Store.Put(ctx, key, value, expect)
	}
	if draw < 1.0/6 {
		if _, err := s.Store.Put(ctx, key, value, expect); errors.Is(err, store.ErrConflict) {
			return 0, err
		}
	}
	return 0, store.ErrUnknown
}

// Guards against the end of the process when a job is withdrawn that no decision is pending for, since its route got a limit on
// waiting tokens while the job was being stored, and the first attempt to withdraw it fails.
func TestWithdrawalWithoutADecisionIsRepeated(t *testing.T) {
	s := &lossyStore{Store: memstore.New(), rng: rand.New(rand.NewPCG(7, 7))}
	_, _, nodes := quotaFleet(t, s, 30*time.Second, "a")
	ctx := context.Background()
	h := head{ID: "j", Host: testHost, Path: "/b/j", Total: 1, Submitted: time.Now(), Owner: "a", Incarnation: 1}
	revision, err := nodes[0].createHead(ctx, h)
	assert.NilError(t, err)
	failing, cancel := context.WithCancel(ctx)
	cancel()
	nodes[0].options.Store = cancelledStore{s}
	assert.Assert(t, nodes[0].withdraw(failing, h, revision) != nil)
	pending := func() bool {
		nodes[0].mu.Lock()
		defer nodes[0].mu.Unlock()
		return nodes[0].undecided["j"] != nil
	}
	assert.Assert(t, pending(), "the job may be taken over while its withdrawal is not stored")
	for until := time.Now().Add(5 * time.Second); pending(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the withdrawal is not repeated")
	}
	stored, _, err := nodes[0].readStoredHead(ctx, "j")
	assert.NilError(t, err)
	assert.Assert(t, stored.Refused)
}

// cancelledStore fails the writes of callers that have left.
type cancelledStore struct{ store.Store }

func (s cancelledStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, expect)
}
