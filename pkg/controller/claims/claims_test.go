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

// unreliable loses answers of writes, also such that the write takes effect later, and refuses some calls.
type unreliable struct {
	store.Store
	// lost, late and refused are the parts of calls per 100.
	lost, late, refused int
	healthy             atomic.Bool
	puts                atomic.Int32
	pending             atomic.Int32
}

func (s *unreliable) Get(ctx context.Context, key string) (store.Object, error) {
	if !s.healthy.Load() && rand.IntN(100) < s.refused {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliable) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.puts.Add(1)
	time.Sleep(time.Millisecond)
	switch n := rand.IntN(100); {
	case s.healthy.Load():
	case n < s.refused:
		return 0, store.ErrUnavailable
	case n < s.refused+s.late:
		s.pending.Add(1)
		go func() {
			defer s.pending.Add(-1)
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			_, _ = s.Store.Put(context.Background(), key, value, expect)
		}()
		return 0, store.ErrUnknown
	case n < s.refused+s.late+s.lost:
		_, _ = s.Store.Put(ctx, key, value, expect)
		return 0, store.ErrUnknown
	}
	return s.Store.Put(ctx, key, value, expect)
}

// newNode returns a controller that takes all the named nodes for live.
func newNode(t *testing.T, network *peertest.Network, s store.Store, name string, live ...string) *Controller {
	board := blackboard.New()
	board.Members.Set(peertest.Members(name, live...))
	node := network.Node(name)
	c, err := New(Options{Self: name, Board: board, Peers: node, Store: s}, node)
	assert.NilError(t, err)
	return c
}

// Guards against requests refused by a node that reaches the store because the owner of their keys does not.
func TestOwnerWithoutStore(t *testing.T) {
	network, s := peertest.New(), memstore.New()
	newNode(t, network, &unreliable{Store: s, refused: 100}, "a", "a")
	other := newNode(t, network, s, "b", "a")
	assert.Equal(t, other.Claim(t.Context(), "board", "key", "digest", "r1"), Granted)
	assert.Assert(t, other.Claim(t.Context(), "board", "key", "digest", "r2") != Granted)
}

// Guards against a key that is claimed twice while two nodes both take themselves for its owner, a third sends its
// claims to one of them, and the store refuses calls, loses answers and applies writes late. A key whose claims
// all failed must be free again afterwards.
func TestOneClaimPerKey(t *testing.T) {
	for _, s := range []*unreliable{{}, {lost: 30}, {late: 30}, {lost: 20, late: 20, refused: 20}, {refused: 60, late: 30}} {
		t.Run(fmt.Sprintf("lost %d late %d refused %d", s.lost, s.late, s.refused), func(t *testing.T) {
			s.Store = memstore.New()
			network := peertest.New()
			nodes := []*Controller{newNode(t, network, s, "a", "a"), newNode(t, network, s, "b", "b"), newNode(t, network, s, "c", "a")}
			const keys = 40
			var granted, unavailable [keys]atomic.Int32
			var group sync.WaitGroup
			for i := range keys * 6 {
				key := i % keys
				group.Go(func() {
					time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
					switch nodes[i/keys%3].Claim(context.Background(), "board", fmt.Sprint(key), "digest", fmt.Sprint("r", i)) {
					case Granted:
						granted[key].Add(1)
					case Unavailable:
						unavailable[key].Add(1)
					}
				})
			}
			group.Wait()
			for s.pending.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			s.healthy.Store(true)
			for key := range keys {
				n := granted[key].Load()
				assert.Assert(t, n <= 1, "key %d claimed %d times", key, n)
				if unavailable[key].Load() == 0 {
					assert.Equal(t, n, int32(1))
				}
				for i, c := range nodes {
					r := c.Claim(context.Background(), "board", fmt.Sprint(key), "digest", fmt.Sprint("again", key, i))
					assert.Assert(t, r != Granted || n == 0, "key %d claimed again", key)
					if r == Granted {
						n = 1
					}
					assert.Equal(t, c.Claim(context.Background(), "board", fmt.Sprint(key), "other", "x"), OtherBody)
				}
			}
		})
	}
}

// Guards the store's write rate: claims that arrive together share a write.
func TestGroupCommit(t *testing.T) {
	s := &unreliable{Store: memstore.New()}
	c := newNode(t, peertest.New(), s, "a", "a")
	var group sync.WaitGroup
	for i := range 200 {
		args := &Args{Key: fmt.Sprintf("ab%d", i), Digest: "d", Request: fmt.Sprint(i)}
		group.Go(func() { assert.Check(t, c.apply(args, false) == Granted) })
	}
	group.Wait()
	assert.Assert(t, s.puts.Load() < 20, "%d writes for 200 claims", s.puts.Load())
	t.Logf("%d writes for 200 claims", s.puts.Load())
}

// Guards the expiry of claims, and that a silent owner delays a claim and does not fail it.
func TestExpiryAndSilentOwner(t *testing.T) {
	s := &unreliable{Store: memstore.New()}
	network := peertest.New()
	a, b := newNode(t, network, s, "a", "b"), newNode(t, network, s, "b", "b")
	now := time.Unix(1_000_000, 0)
	a.Now, b.Now = func() time.Time { return now }, func() time.Time { return now }
	claim := func(c *Controller, request string) Result {
		return c.Claim(context.Background(), "board", "k", "d", request)
	}
	assert.Equal(t, claim(a, "r1"), Granted)
	network.Silent("b", true)
	assert.Equal(t, claim(a, "r2"), Held)
	network.Silent("b", false)
	now = now.Add(keep + time.Second)
	assert.Equal(t, claim(a, "r3"), Granted)
	a.Release(context.Background(), "board", "k", "d", "r3")
	assert.Equal(t, claim(b, "r4"), Granted)
}
