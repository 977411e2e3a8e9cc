package upstreams

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/serving"
)

// fakeProber counts load polls. It returns the cache events after the requested sequence number; a test may leave gaps in
// their numbers.
type fakeProber struct {
	mu     sync.Mutex
	polls  map[string]int
	down   bool
	events []placement.CacheEvent
}

func (p *fakeProber) Load(_ context.Context, u api.Upstream) (Load, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[u.Name]++
	if p.down {
		return Load{}, errors.New("connection refused")
	}
	return Load{Running: 2, Slots: 8}, nil
}

// count returns the number of load polls of an upstream.
func (p *fakeProber) count(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polls[name]
}

// owned returns an upstream that was polled, which the node under test therefore owns.
func (p *fakeProber) owned() (name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name = range p.polls {
		break
	}
	return name
}

func (p *fakeProber) State(context.Context, api.Upstream) (State, error) {
	return State{Models: []string{"m"}}, nil
}

func (p *fakeProber) CacheEvents(_ context.Context, _ api.Upstream, after int64) (Events, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Events
	for _, e := range p.events {
		if e.Seq > after {
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}

func startObserver(t *testing.T, self string, p Prober, ups ...api.Upstream) (*Observer, *blackboard.Board) {
	b := blackboard.New()
	b.Members.Set(blackboard.Members{Self: self, Live: map[string]blackboard.Member{"a": {}, "b": {}}})
	b.Config.Set(api.Config{Register: api.Register{Upstreams: ups}})
	o := New(Options{Self: self, Board: b, Prober: p, Seed: 3})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = o.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return o, b
}

func engine(name string) api.Upstream {
	return api.Upstream{Name: name, VM: "vm-" + name, Kind: api.UpstreamEngine, Models: []string{"m"}}
}

// Guards against polling traffic that grows with nodes times upstreams: exactly one of two nodes must poll each
// upstream.
func TestEachUpstreamIsPolledByItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa, pb := &fakeProber{polls: map[string]int{}}, &fakeProber{polls: map[string]int{}}
		ups := []api.Upstream{engine("e1"), engine("e2"), engine("e3"), engine("e4"), engine("e5"), engine("e6")}
		startObserver(t, "a", pa, ups...)
		startObserver(t, "b", pb, ups...)
		time.Sleep(8 * time.Duration(len(ups)) * intervalPerUpstream)
		synctest.Wait()
		for _, u := range ups {
			byA, byB := pa.count(u.Name), pb.count(u.Name)
			assert.Assert(t, (byA > 5 && byB == 0) || (byB > 5 && byA == 0), "%s: %d and %d polls", u.Name, byA, byB)
		}
	})
}

// Guards against work for a crashed or leaving upstream: it must be ejected after two crashed runs, return through slow
// start only once polls succeed, and be leaving as soon as the VM list marks its VM as leaving.
func TestHealthFollowsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProber{polls: map[string]int{}}
		o, b := startObserver(t, "a", p, engine("e1"), engine("e2"), engine("e3"), engine("e4"))
		time.Sleep(time.Second)
		owned := p.owned()
		state := func() blackboard.UpstreamHealth { return b.Upstreams.Value()[owned].Health }
		assert.Equal(t, state(), blackboard.HealthReady)
		p.mu.Lock()
		p.down = true
		p.mu.Unlock()
		o.Report(owned, serving.RunCrashed)
		o.Report(owned, serving.RunCrashed)
		assert.Equal(t, state(), blackboard.HealthEjected)
		time.Sleep(20 * time.Second)
		assert.Equal(t, state(), blackboard.HealthEjected, "must not return while polls fail")
		p.mu.Lock()
		p.down = false
		p.mu.Unlock()
		time.Sleep(2 * time.Second)
		assert.Equal(t, state(), blackboard.HealthSlowStart)
		time.Sleep(11 * time.Second)
		assert.Equal(t, state(), blackboard.HealthReady)
		b.VMs.Set(map[string]blackboard.VMState{"vm-" + owned: blackboard.VMLeaving})
		synctest.Wait()
		assert.Equal(t, state(), blackboard.HealthLeaving)
	})
}

// Guards against full trust in the cache index after cache events were lost, and against trust that stays low after
// later events.
func TestGapsInCacheEventsLowerTrust(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProber{polls: map[string]int{}}
		o, _ := startObserver(t, "a", p, engine("e1"), engine("e2"), engine("e3"), engine("e4"))
		time.Sleep(time.Second)
		owned := p.owned()
		add := func(e placement.CacheEvent) {
			p.mu.Lock()
			p.events = append(p.events, e)
			p.mu.Unlock()
			// Cache events are read at every second poll, and the node owns at most four upstreams.
			time.Sleep(2 * 4 * intervalPerUpstream)
		}
		add(placement.CacheEvent{Seq: 1, Kind: placement.CacheStored, Hashes: []uint64{1, 2, 3}})
		blocks, before := o.Cached(owned, []uint64{1, 2, 3, 4})
		assert.Equal(t, blocks, 3)
		add(placement.CacheEvent{Seq: 5, Kind: placement.CacheEvicted, Hashes: []uint64{3}})
		blocks, after := o.Cached(owned, []uint64{1, 2, 3, 4})
		assert.Equal(t, blocks, 2)
		assert.Assert(t, after < 0.75*before, "trust %v after a gap, %v before", after, before)
		add(placement.CacheEvent{Seq: 6, Kind: placement.CacheStored, Hashes: []uint64{1, 2}})
		_, again := o.Cached(owned, []uint64{1, 2})
		assert.Assert(t, again > 0.95, "an entry seen again has trust %v", again)
		o.Report(owned, serving.RunCrashed)
		o.Report(owned, serving.RunCrashed)
		blocks, _ = o.Cached(owned, []uint64{1, 2})
		assert.Equal(t, blocks, 0, "an upstream that crashed lost its cache")
	})
}

// Guards against a prober that does not read the documented wire format.
func TestHTTPProberReadsWireFormat(t *testing.T) {
	answers := map[string]string{
		"/load":         `{"running":3,"waiting":1,"slots":8,"kv_used":10,"kv_capacity":100,"at":"2026-01-02T03:04:05Z"}`,
		"/state":        `{"models":{"m":"v1"},"adapters":["a"],"role":"serve","fencing":7}`,
		"/cache/events": `{"events":[{"seq":4,"type":"stored","hashes":[18446744073709551615]}],"next":4}`,
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	defer srv.Close()
	u, p, ctx := api.Upstream{Address: strings.TrimPrefix(srv.URL, "http://")}, &HTTPProber{}, context.Background()
	l, err := p.Load(ctx, u)
	assert.NilError(t, err)
	assert.Equal(t, l, Load{Running: 3, Waiting: 1, Slots: 8, KVUsed: 10, KVCapacity: 100, At: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)})
	s, err := p.State(ctx, u)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Models, []string{"m", "a"})
	e, err := p.CacheEvents(ctx, u, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, e, Events{Next: 4, Events: []placement.CacheEvent{{Seq: 4, Kind: placement.CacheStored, Hashes: []uint64{1<<64 - 1}}}})
}
