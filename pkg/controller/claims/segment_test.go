package claims

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
)

// scriptedStore is a store whose next writes have the listed faults: refused, lost (the answer), or late (the write, with
// a lost answer). It records a segment that is written twice and the size of the largest value.
type scriptedStore struct {
	store.Store
	// mu guards the fields below, since withdrawals are written in the background.
	mu        sync.Mutex
	faults    []string
	late      []func()
	rewritten string
	largest   int
}

func (s *scriptedStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, len(value))
	if _, err := s.Store.Get(ctx, key); err == nil && strings.Count(key, "/") > 1 {
		s.rewritten = key
	}
	fault := ""
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	put := func() { _, _ = s.Store.Put(context.Background(), key, value, expect) }
	switch fault {
	case "refused":
		return 0, store.ErrUnavailable
	case "late":
		s.late = append(s.late, put)
		return 0, store.ErrUnknown
	case "lost":
		put()
		return 0, store.ErrUnknown
	}
	return s.Store.Put(ctx, key, value, expect)
}

// setFaults sets the faults of the next writes.
func (s *scriptedStore) setFaults(faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// healthy reports whether no listed fault is left.
func (s *scriptedStore) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults) == 0
}

// applyLate applies the late writes.
func (s *scriptedStore) applyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range s.late {
		put()
	}
	s.late = nil
}

type registrar struct{}

func (registrar) Register(string, any) error { return nil }

// newLoneController returns a controller without peers, so that no goroutine is left in a synctest bubble.
func newLoneController(t *testing.T, s store.Store) *Controller {
	c, err := New(Options{Board: blackboard.New(), Store: s}, registrar{})
	assert.NilError(t, err)
	c.maxOpen = 3
	return c
}

// keyModel is the model of a key: holder is the request that may run, and uncertain holds the requests that do not run
// but whose claim may be in the store until the node that made it has written again.
type keyModel struct {
	holder    string
	at        time.Time
	uncertain map[string]attempt
}

// attempt is a claim that failed: its time and the controller that made it.
type attempt struct {
	at time.Time
	by *Controller
}

// mayBeHeld reports whether a valid claim of the key may be in the store.
func (k *keyModel) mayBeHeld(now time.Time) bool {
	for _, a := range k.uncertain {
		if now.Sub(a.at) <= retention+time.Second {
			return true
		}
	}
	return k.holder != "" && now.Sub(k.at) <= retention+time.Second
}

// TestSegmentsKeepOneClaimPerKey guards against a key that is granted to two requests within the retention, a resend that
// is not recognised after its claim moved to a segment or after a restart, and a claim that is refused without reason.
// Two nodes both consider themselves the owner and restart, while the store refuses writes, loses answers and applies
// writes late.
func TestSegmentsKeepOneClaimPerKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Rapid ends a case by a panic, which must be raised again outside of the bubble.
		var panicValue any
		synctest.Test(t, func(t *testing.T) {
			defer func() { panicValue = recover() }()
			runClaimSteps(t, rt)
		})
		if panicValue != nil {
			panic(panicValue)
		}
	})
}

// runClaimSteps runs random operations on two controllers with a shared store, and compares their results with the model.
func runClaimSteps(t *testing.T, rt *rapid.T) {
	s := &scriptedStore{Store: memstore.New()}
	nodes := []*Controller{newLoneController(t, s), newLoneController(t, s)}
	keys := map[string]*keyModel{}
	fault := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "refused", "late", "lost"}), 0, 8)
	for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
		node := rapid.IntRange(0, 1).Draw(rt, "node")
		key := fmt.Sprintf("ab%d", rapid.IntRange(0, 9).Draw(rt, "key"))
		k, ok := keys[key]
		if !ok {
			k = &keyModel{uncertain: map[string]attempt{}}
			keys[key] = k
		}
		switch rapid.SampledFrom([]string{"claim", "claim", "claim", "resend", "withdraw", "restart", "deliver", "wait"}).Draw(rt, "op") {
		case "claim":
			s.setFaults(fault.Draw(rt, "faults"))
			k.claim(rt, nodes[node], key, fmt.Sprint("r", i))
		case "resend":
			s.setFaults(nil)
			if k.claim(rt, nodes[node], key, fmt.Sprint("r", i)) == Granted {
				for _, k := range keys {
					maps.DeleteFunc(k.uncertain, func(_ string, a attempt) bool { return a.by == nodes[node] })
				}
			}
		case "withdraw":
			if k.holder == "" {
				break
			}
			s.setFaults(fault.Draw(rt, "faults"))
			if nodes[node].commit(&Args{Key: key, Digest: "d", Request: k.holder}, true) != Granted {
				k.uncertain[k.holder] = attempt{k.at, nodes[node]}
			}
			k.holder = ""
		case "restart":
			nodes[node] = newLoneController(t, s)
		case "deliver":
			s.applyLate()
		case "wait":
			time.Sleep(time.Duration(rapid.IntRange(1, 15).Draw(rt, "hours")) * time.Hour)
		}
		synctest.Wait()
		s.check(rt)
	}
}

// check fails the test if a segment was written twice or a value is too large.
func (s *scriptedStore) check(rt *rapid.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rewritten != "" {
		rt.Fatal("segment written twice: ", s.rewritten)
	}
	if s.largest > 2000 {
		rt.Fatal("value of ", s.largest, " bytes for at most four open claims")
	}
}

// claim makes a claim and compares its result with the model.
func (k *keyModel) claim(rt *rapid.T, c *Controller, key, request string) Result {
	now, healthy := time.Now(), c.Store.(*scriptedStore).healthy()
	held := k.holder != "" && now.Sub(k.at) < retention
	possible := k.mayBeHeld(now)
	result := c.commit(&Args{Key: key, Digest: "d", Request: request}, false)
	switch result {
	case Granted:
		if held {
			rt.Fatalf("%s granted to %s while %s holds it", key, request, k.holder)
		}
		k.holder, k.at = request, now
	case HeldByOther:
		if !possible {
			rt.Fatalf("%s refused to %s without a holder", key, request)
		}
	case Unavailable:
		if healthy {
			rt.Fatal("unavailable with a healthy store")
		}
		k.uncertain[request] = attempt{now, c}
	}
	return result
}

// TestSegmentsAreReadAndCollected guards against claims in many segments that are not recognised after a restart, and
// against segments that are not deleted once their claims have expired, including one that no head names.
func TestSegmentsAreReadAndCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{Store: memstore.New()}
		const claims = 100
		claim := func(c *Controller, request string) (results map[Result]int) {
			results = map[Result]int{}
			for i := range claims {
				results[c.commit(&Args{Key: fmt.Sprintf("ab%d", i), Digest: "d", Request: fmt.Sprint(request, i)}, false)]++
			}
			return results
		}
		segments := func() []string {
			page, err := s.List(context.Background(), "claims/ab/", "", 0)
			assert.NilError(t, err)
			var names []string
			for _, o := range page.Objects {
				names = append(names, o.Key)
			}
			return names
		}
		_, err := s.Store.Put(context.Background(), "claims/ab/unnamed", []byte(`{}`), store.CreateOnly)
		assert.NilError(t, err)
		assert.DeepEqual(t, claim(newLoneController(t, s), "first"), map[Result]int{Granted: claims})
		first := segments()
		assert.Assert(t, len(first) >= claims/4)
		time.Sleep(retention - time.Minute)
		later := newLoneController(t, s)
		assert.DeepEqual(t, claim(later, "second"), map[Result]int{HeldByOther: claims})
		time.Sleep(2*time.Minute + segmentExpiryMargin)
		assert.DeepEqual(t, claim(later, "third"), map[Result]int{Granted: claims})
		synctest.Wait()
		var left []string
		for _, name := range segments() {
			if slices.Contains(first, name) {
				left = append(left, name)
			}
		}
		assert.Equal(t, len(left), 0, "%v", left)
	})
}

// TestPlainObjectIsRead guards against claims that are lost because their head was written before segments existed, as a
// JSON object of claims.
func TestPlainObjectIsRead(t *testing.T) {
	s := &scriptedStore{Store: memstore.New()}
	value := fmt.Sprintf(`{"ab1":{"r":"old","d":"d","t":%d}}`, time.Now().Unix())
	_, err := s.Put(context.Background(), "claims/ab", []byte(value), store.CreateOnly)
	assert.NilError(t, err)
	c := newLoneController(t, s)
	assert.Equal(t, c.commit(&Args{Key: "ab1", Digest: "d", Request: "new"}, false), HeldByOther)
	assert.Equal(t, c.commit(&Args{Key: "ab2", Digest: "d", Request: "new"}, false), Granted)
	assert.Equal(t, c.commit(&Args{Key: "ab1", Digest: "other", Request: "new"}, false), BodyMismatch)
}
