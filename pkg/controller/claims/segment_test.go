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

// scripted is a store whose next writes fail as listed: refused, with a lost answer, or late with a lost answer. It
// notes a segment that is written twice and the largest value.
type scripted struct {
	store.Store
	// mu guards the fields, since withdrawals are written in the background.
	mu        sync.Mutex
	faults    []string
	late      []func()
	rewritten string
	largest   int
}

func (s *scripted) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
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

func (s *scripted) script(faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *scripted) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.faults) == 0
}

func (s *scripted) deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range s.late {
		put()
	}
	s.late = nil
}

type registrar struct{}

func (registrar) Register(string, any) error { return nil }

// lone returns a controller without peers, so that a synctest bubble is left without goroutines.
func lone(t *testing.T, s store.Store) *Controller {
	c, err := New(Options{Board: blackboard.New(), Store: s}, registrar{})
	assert.NilError(t, err)
	c.maxOpen = 3
	return c
}

// claimed is what the model knows of a key: the request that may run, and those that do not run but whose claim may
// be in the store until the node that made it has written again.
type claimed struct {
	holder string
	at     time.Time
	maybe  map[string]attempt
}

type attempt struct {
	at time.Time
	by *Controller
}

func (k *claimed) mayBeHeld(now time.Time) bool {
	for _, a := range k.maybe {
		if now.Sub(a.at) <= keep+time.Second {
			return true
		}
	}
	return k.holder != "" && now.Sub(k.at) <= keep+time.Second
}

// Guards against a key that two requests get within the retention, a resend that is not recognised after its claim
// moved to a segment or after a restart, and a claim that is refused without reason. Two nodes take themselves for the
// owner, restart, and meet refused writes, lost answers and late writes.
func TestSegmentsKeepOneClaimPerKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Rapid ends a case by a panic, which must leave the bubble as it is.
		var stop any
		synctest.Test(t, func(t *testing.T) {
			defer func() { stop = recover() }()
			claimSteps(t, rt)
		})
		if stop != nil {
			panic(stop)
		}
	})
}

func claimSteps(t *testing.T, rt *rapid.T) {
	s := &scripted{Store: memstore.New()}
	nodes := []*Controller{lone(t, s), lone(t, s)}
	keys := map[string]*claimed{}
	fault := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "refused", "late", "lost"}), 0, 8)
	for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
		node := rapid.IntRange(0, 1).Draw(rt, "node")
		key := fmt.Sprintf("ab%d", rapid.IntRange(0, 9).Draw(rt, "key"))
		k, ok := keys[key]
		if !ok {
			k = &claimed{maybe: map[string]attempt{}}
			keys[key] = k
		}
		switch rapid.SampledFrom([]string{"claim", "claim", "claim", "resend", "withdraw", "restart", "deliver", "wait"}).Draw(rt, "op") {
		case "claim":
			s.script(fault.Draw(rt, "faults"))
			k.claim(rt, nodes[node], key, fmt.Sprint("r", i))
		case "resend":
			s.script(nil)
			if k.claim(rt, nodes[node], key, fmt.Sprint("r", i)) == Granted {
				for _, k := range keys {
					maps.DeleteFunc(k.maybe, func(_ string, a attempt) bool { return a.by == nodes[node] })
				}
			}
		case "withdraw":
			if k.holder == "" {
				break
			}
			s.script(fault.Draw(rt, "faults"))
			if nodes[node].apply(&Args{Key: key, Digest: "d", Request: k.holder}, true) != Granted {
				k.maybe[k.holder] = attempt{k.at, nodes[node]}
			}
			k.holder = ""
		case "restart":
			nodes[node] = lone(t, s)
		case "deliver":
			s.deliver()
		case "wait":
			time.Sleep(time.Duration(rapid.IntRange(1, 15).Draw(rt, "hours")) * time.Hour)
		}
		synctest.Wait()
		s.check(rt)
	}
}

func (s *scripted) check(rt *rapid.T) {
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
func (k *claimed) claim(rt *rapid.T, c *Controller, key, request string) Result {
	now, healthy := time.Now(), c.Store.(*scripted).healthy()
	held := k.holder != "" && now.Sub(k.at) < keep
	possible := k.mayBeHeld(now)
	result := c.apply(&Args{Key: key, Digest: "d", Request: request}, false)
	switch result {
	case Granted:
		if held {
			rt.Fatalf("%s granted to %s while %s holds it", key, request, k.holder)
		}
		k.holder, k.at = request, now
	case Held:
		if !possible {
			rt.Fatalf("%s refused to %s without a holder", key, request)
		}
	case Unavailable:
		if healthy {
			rt.Fatal("unavailable with a healthy store")
		}
		k.maybe[request] = attempt{now, c}
	}
	return result
}

// Guards recognition over many segments after a restart, and the deletion of segments once their claims have expired,
// also of one that no head names.
func TestSegmentsAreReadAndCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{Store: memstore.New()}
		const claims = 100
		claim := func(c *Controller, request string) (results map[Result]int) {
			results = map[Result]int{}
			for i := range claims {
				results[c.apply(&Args{Key: fmt.Sprintf("ab%d", i), Digest: "d", Request: fmt.Sprint(request, i)}, false)]++
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
		assert.DeepEqual(t, claim(lone(t, s), "first"), map[Result]int{Granted: claims})
		first := segments()
		assert.Assert(t, len(first) >= claims/4)
		time.Sleep(keep - time.Minute)
		later := lone(t, s)
		assert.DeepEqual(t, claim(later, "second"), map[Result]int{Held: claims})
		time.Sleep(2*time.Minute + collectMargin)
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

// Guards claims that were written as a plain object, before segments.
func TestPlainObjectIsRead(t *testing.T) {
	s := &scripted{Store: memstore.New()}
	value := fmt.Sprintf(`{"ab1":{"r":"old","d":"d","t":%d}}`, time.Now().Unix())
	_, err := s.Put(context.Background(), "claims/ab", []byte(value), store.CreateOnly)
	assert.NilError(t, err)
	c := lone(t, s)
	assert.Equal(t, c.apply(&Args{Key: "ab1", Digest: "d", Request: "new"}, false), Held)
	assert.Equal(t, c.apply(&Args{Key: "ab2", Digest: "d", Request: "new"}, false), Granted)
	assert.Equal(t, c.apply(&Args{Key: "ab1", Digest: "other", Request: "new"}, false), OtherBody)
}
