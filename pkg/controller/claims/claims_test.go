package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/gateway/peertest"
)

// unreliableStore is a store that refuses some calls and loses the answers of some writes, which take effect at once or
// late.
type unreliableStore struct {
	store.Store
	// lost, late and refused are the percentages of calls with that fault.
	lost, late, refused int
	healthy             atomic.Bool
	puts                atomic.Int32
	// faultMu is held while the fault of a write is chosen, so that no late write is added once recover waits for
	// pending.
	faultMu sync.Mutex
	pending sync.WaitGroup
}

// recover ends all faults and waits for the late writes. A commit whose caller gave up may still be in progress.
func (s *unreliableStore) recover() {
	s.faultMu.Lock()
	s.healthy.Store(true)
	s.faultMu.Unlock()
	s.pending.Wait()
}

func (s *unreliableStore) Get(ctx context.Context, key string) (store.Object, error) {
	if !s.healthy.Load() && rand.IntN(100) < s.refused {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliableStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.puts.Add(1)
	time.Sleep(time.Millisecond)
	s.faultMu.Lock()
	defer s.faultMu.Unlock()
	switch n := rand.IntN(100); {
	case s.healthy.Load():
	case n < s.refused:
		return 0, store.ErrUnavailable
	case n < s.refused+s.late:
		s.pending.Go(func() {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			_, _ = s.Store.Put(context.Background(), key, value, expect)
		})
		return 0, store.ErrUnknown
	case n < s.refused+s.late+s.lost:
		_, _ = s.Store.Put(ctx, key, value, expect)
		return 0, store.ErrUnknown
	}
	return s.Store.Put(ctx, key, value, expect)
}

// newNode returns the controller of a node whose live members are the named nodes.
func newNode(t *testing.T, network *peertest.Network, s store.Store, name string, live ...string) *Controller {
	board := blackboard.New()
	board.Members.Set(peertest.Members(name, live...))
	node := network.AddNode(name)
	c, err := New(Options{Self: name, Board: board, Peers: node, Store: s}, node)
	assert.NilError(t, err)
	c.maxOpen = 3
	return c
}

// TestOwnerWithoutStore guards against a node that refuses requests, although it reaches the store, because the owner of
// their keys does not reach it.
func TestOwnerWithoutStore(t *testing.T) {
	network, s := peertest.New(), memstore.New()
	newNode(t, network, &unreliableStore{Store: s, refused: 100}, "a", "a")
	other := newNode(t, network, s, "b", "a")
	assert.Equal(t, other.Claim(t.Context(), "board", "key", "digest", "r1"), Granted)
	assert.Assert(t, other.Claim(t.Context(), "board", "key", "digest", "r2") != Granted)
}

// releaseTimeout is more than the time of a withdrawal: a call to an owner that does not answer, and a commit.
const releaseTimeout = 2 * (callTimeout + commitTimeout)

// newKeys returns n keys of which half share a bucket, so that this bucket gets segments.
func newKeys(n int) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprint("key ", i)
		if len(keys) < n/2 || bucketOf(hashKey("board", key)) == "claims/00" {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestOneClaimPerKey guards against a key that is claimed twice while two nodes both consider themselves its owner, a
// third sends its claims to one of them, and the store refuses calls, loses answers and applies writes late. A key whose
// claims all failed must be free again afterwards.
func TestOneClaimPerKey(t *testing.T) {
	for _, s := range []*unreliableStore{{}, {lost: 30}, {late: 30}, {lost: 20, late: 20, refused: 20}, {refused: 60, late: 30}} {
		t.Run(fmt.Sprintf("lost %d late %d refused %d", s.lost, s.late, s.refused), func(t *testing.T) {
			s.Store = memstore.New()
			network := peertest.New()
			nodes := []*Controller{newNode(t, network, s, "a", "a"), newNode(t, network, s, "b", "b"), newNode(t, network, s, "c", "a")}
			const keys = 40
			names := newKeys(keys)
			var granted, unavailable [keys]atomic.Int32
			var group sync.WaitGroup
			for i := range keys * 6 {
				key := i % keys
				group.Go(func() {
					time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
					switch nodes[i/keys%3].Claim(context.Background(), "board", names[key], "digest", fmt.Sprint("r", i)) {
					case Granted:
						granted[key].Add(1)
					case Unavailable:
						unavailable[key].Add(1)
					}
				})
			}
			group.Wait()
			s.recover()
			for key := range keys {
				n := granted[key].Load()
				assert.Assert(t, n <= 1, "key %d claimed %d times", key, n)
				if unavailable[key].Load() == 0 {
					assert.Equal(t, n, int32(1))
				}
				// The node that made a claim withdraws it in the background if the request did not run.
				for try, deadline := 0, time.Now().Add(releaseTimeout); n == 0; try++ {
					assert.Assert(t, time.Now().Before(deadline), "key %d is not free again", key)
					if nodes[try%3].Claim(context.Background(), "board", names[key], "digest", fmt.Sprint("again", key, try)) == Granted {
						n = 1
					}
					time.Sleep(time.Millisecond)
				}
				for i, c := range nodes {
					r := c.Claim(context.Background(), "board", names[key], "digest", fmt.Sprint("late", key, i))
					assert.Assert(t, r != Granted, "key %d claimed again", key)
					assert.Equal(t, c.Claim(context.Background(), "board", names[key], "other", "x"), BodyMismatch)
				}
			}
		})
	}
}

// TestGroupCommit guards against one store write for each of many claims that arrive together.
func TestGroupCommit(t *testing.T) {
	s := &unreliableStore{Store: memstore.New()}
	c := newNode(t, peertest.New(), s, "a", "a")
	var group sync.WaitGroup
	for i := range 200 {
		args := &Args{Key: fmt.Sprintf("ab%d", i), Digest: "d", Request: fmt.Sprint(i)}
		group.Go(func() { assert.Check(t, c.commit(args, false) == Granted) })
	}
	group.Wait()
	assert.Assert(t, s.puts.Load() < 20, "%d writes for 200 claims", s.puts.Load())
	t.Logf("%d writes for 200 claims", s.puts.Load())
}

// TestExpiryAndSilentOwner guards against a claim that holds after its retention, and against a claim that fails, and is
// not only delayed, because the owner does not answer.
func TestExpiryAndSilentOwner(t *testing.T) {
	s := &unreliableStore{Store: memstore.New()}
	network := peertest.New()
	a, b := newNode(t, network, s, "a", "b"), newNode(t, network, s, "b", "b")
	now := time.Unix(1_000_000, 0)
	a.Now, b.Now = func() time.Time { return now }, func() time.Time { return now }
	claim := func(c *Controller, request string) Result {
		return c.Claim(context.Background(), "board", "k", "d", request)
	}
	assert.Equal(t, claim(a, "r1"), Granted)
	network.SetUnresponsive("b", true)
	assert.Equal(t, claim(a, "r2"), HeldByOther)
	network.SetUnresponsive("b", false)
	now = now.Add(retention + time.Second)
	assert.Equal(t, claim(a, "r3"), Granted)
	a.Release(context.Background(), "board", "k", "d", "r3")
	assert.Equal(t, claim(b, "r4"), Granted)
}
