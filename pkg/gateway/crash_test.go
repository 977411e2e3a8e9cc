package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/gateway/peertest"
	"trefoilplank.example/pkg/gateway/prompt"
	"trefoilplank.example/pkg/serving"
)

// fleet starts nodes that share the upstreams and the slots.
func fleet(t testing.TB, network *peertest.Network, nodes int, change func(*Options, *peertest.Node), upstreams ...*fakeUpstream) []*fixture {
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	var all []*fixture
	for _, name := range names {
		f := newFixture(t, func(o *Options) {
			peers := network.Node(name)
			o.Node = name
			o.Board.Members.Set(peertest.Members(name, names...))
			q, err := quarantine.New(quarantine.Options{Self: name, Board: o.Board, Peers: peers, Explain: o.Explain}, peers)
			assert.NilError(t, err)
			o.Quarantine = q
			if len(all) > 0 {
				o.Slots = all[0].slots
			}
			if change != nil {
				change(o, peers)
			}
		}, upstreams...)
		all = append(all, f)
	}
	return all
}

// ownedBy returns a text of a chat whose fingerprint the named node owns.
func ownedBy(t testing.TB, text, owner string, nodes []string) string {
	for i := range 1000 {
		candidate := fmt.Sprint(text, " ", i)
		b, err := prompt.Parse([]byte(chatBody(candidate, false)), true)
		assert.NilError(t, err)
		if rendezvous.Owner(prompt.Fingerprint("board", "m", string(b.Canonical())), nodes) == owner {
			return candidate
		}
	}
	t.Fatal("no text found")
	return ""
}

// Guards the bound of two crashes when a request that crashes every upstream is resent 20 times at once through
// different nodes, also when the owner of its fingerprint is lost meanwhile, and that every innocent request in flight is answered.
func TestCrashingRequestIsContained(t *testing.T) {
	for _, ownerLost := range []bool{false, true} {
		t.Run(fmt.Sprint("owner lost ", ownerLost), func(t *testing.T) {
			var crashes atomic.Int32
			var upstreams []*fakeUpstream
			for i := range 6 {
				e := newUpstream(t, fmt.Sprint("e", i), api.UpstreamEngine)
				e.fault = func(f *fakeUpstream, w http.ResponseWriter, _ *http.Request, body []byte) bool {
					time.Sleep(60 * time.Millisecond)
					if bytes.Contains(body, []byte("poison")) {
						crashes.Add(1)
						f.crash()
						return true
					}
					return false
				}
				upstreams = append(upstreams, e)
			}
			network := peertest.New()
			nodes := fleet(t, network, 4, nil, upstreams...)
			text := ownedBy(t, "poison", "n3", []string{"n0", "n1", "n2", "n3"})
			var group sync.WaitGroup
			for i := range 24 {
				group.Go(func() {
					r := nodes[i%3].chat(fmt.Sprint("innocent ", i))
					assert.Check(t, r.status == 200, "innocent %d: %d %s", i, r.status, r.body)
				})
			}
			time.Sleep(20 * time.Millisecond)
			if ownerLost {
				// The first run is in progress then; it crashes its upstream after 60 ms.
				time.AfterFunc(30*time.Millisecond, func() { network.Down("n3", true) })
			}
			for i := range 20 {
				group.Go(func() {
					r := nodes[i%3].chat(text, api.HeaderTimeoutMs, "10000")
					assert.Check(t, r.status == 422, "%d %s", r.status, r.body)
					assert.Check(t, r.outcome == "not-run" || r.outcome == "failed")
				})
			}
			group.Wait()
			assert.Assert(t, crashes.Load() <= 2, "%d crashes", crashes.Load())
			assert.Equal(t, nodes[0].chat("another").status, 200)
			assert.Equal(t, nodes[0].slots.inUse(), 0)
			t.Logf("%d crashes", crashes.Load())
		})
	}
}

// Guards that equal harmless requests at once are all answered, each run after the first without waiting.
func TestEqualRequests(t *testing.T) {
	e := newUpstream(t, "e0", api.UpstreamEngine)
	nodes := fleet(t, peertest.New(), 2, nil, e)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() { assert.Check(t, nodes[i%2].chat("same").status == 200) })
	}
	group.Wait()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r := nodes[1].send(ctx, "POST", "/v1/chat/completions", chatBody("same", true))
	assert.NilError(t, r.err)
	assert.Equal(t, e.runCount(), 21)
}

// reports counts the crash reports by upstream.
type reports struct {
	mu     sync.Mutex
	deaths map[string]int
}

func (r *reports) Check(context.Context, string, string) (serving.Verdict, time.Duration) {
	return serving.VerdictClear, 0
}

func (r *reports) Finished(_ context.Context, _, _, upstream string, died bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if died {
		r.deaths[upstream]++
	}
}

// Guards against hundreds of suspects, each of which would need an idle upstream, when a rack is lost.
func TestLossOfManyUpstreamsMakesFewSuspects(t *testing.T) {
	release := make(chan struct{})
	// Without this a failure would leave the upstreams waiting and the test would hang at its cleanup.
	letGo := sync.OnceFunc(func() { close(release) })
	t.Cleanup(letGo)
	var upstreams []*fakeUpstream
	for i := range 6 {
		e := newUpstream(t, fmt.Sprint("e", i), api.UpstreamEngine)
		if i > 0 {
			e.fault = func(f *fakeUpstream, _ http.ResponseWriter, _ *http.Request, _ []byte) bool {
				<-release
				f.crash()
				return true
			}
		}
		upstreams = append(upstreams, e)
	}
	seen := &reports{deaths: map[string]int{}}
	f := newFixture(t, func(o *Options) { o.Quarantine = seen }, upstreams...)
	var group sync.WaitGroup
	for i := range 30 {
		group.Go(func() {
			r := f.chat(fmt.Sprint(i))
			assert.Check(t, r.status == 200, r.body)
		})
	}
	eventually(t, "the runs have begun", func() bool { return f.slots.inUse() >= 25 })
	letGo()
	group.Wait()
	assert.Assert(t, len(seen.deaths) < commonDeaths, "%v", seen.deaths)
}
