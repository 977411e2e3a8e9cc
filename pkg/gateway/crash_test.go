package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/quarantine"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/gateway/peertest"
	"trefoilplank.example/pkg/gateway/prompt"
	"trefoilplank.example/pkg/serving"
)

// startNodes starts nodes with a quarantine each that share the upstreams and the slots; change, if not nil, adjusts
// the options of each node.
func startNodes(t testing.TB, network *peertest.Network, nodes int, change func(*Options, *peertest.Node), upstreams ...*fakeUpstream) []*fixture {
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	var all []*fixture
	for _, name := range names {
		f := newFixture(t, func(o *Options) {
			peers := network.AddNode(name)
			o.Node = name
			o.Board.Members.Set(peertest.Members(name, names...))
			q, err := quarantine.New(quarantine.Options{Self: name, Board: o.Board, Peers: peers, Explain: o.Explain, Timeouts: longTimeouts}, peers)
			assert.NilError(t, err)
			o.Quarantine = q
			go func() { _ = q.Run(t.Context()) }()
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

// longTimeouts prevents live nodes on a busy machine from counting as lost; calls to lost nodes fail at once.
var longTimeouts = quarantine.Timeouts{Call: 10 * time.Second, Successor: 5 * time.Second, Recall: 4 * time.Second}

// crashScenario sends a request that crashes every upstream 20 times at once through different nodes, together with 40
// harmless requests. Meanwhile the two nodes that hold the record of its fingerprint, owner and successor, may fail.
type crashScenario struct {
	// lost is how many of the two holders fail, the owner first: after the report of the first crash if atReport is
	// set, otherwise during the first run.
	lost     int
	atReport bool
	// lossNoticed is set if the remaining nodes drop the failed ones from their member lists at once.
	lossNoticed bool
}

// quarantineWithLoss calls lose after each crash report.
type quarantineWithLoss struct {
	serving.Quarantine
	lose func()
}

func (q quarantineWithLoss) ReportRun(ctx context.Context, works failedruns.Works, request, upstream string, crashed bool) bool {
	excused := q.Quarantine.ReportRun(ctx, works, request, upstream, crashed)
	if crashed {
		q.lose()
	}
	return excused
}

// run returns the number of crashes that the request caused, of its resends that were not refused, and of harmless
// requests that were not answered. A slot that is still in use at the end counts as unanswered.
func (s crashScenario) run(t testing.TB) (crashes, notRefused, unanswered int) {
	const serving, holders = 20, 2
	network := peertest.New()
	var nodes []*fixture
	var all, remaining []string
	for i := range serving + holders {
		all = append(all, fmt.Sprint("n", i))
	}
	remaining = all[:serving]
	lose := sync.OnceFunc(func() {
		for _, name := range all[serving : serving+s.lost] {
			network.SetDown(name, true)
		}
		for _, f := range nodes {
			if s.lossNoticed {
				f.board.Members.Set(peertest.Members(f.Node, remaining...))
			}
		}
	})
	var mu sync.Mutex
	var upstreams []*fakeUpstream
	for i := range 8 {
		e := newUpstream(t, fmt.Sprint("e", i), api.UpstreamEngine)
		e.fault = func(f *fakeUpstream, _ http.ResponseWriter, _ *http.Request, body []byte) bool {
			crashing := bytes.Contains(body, []byte("poison"))
			if crashing && !s.atReport {
				lose()
			}
			time.Sleep(60 * time.Millisecond)
			if crashing {
				mu.Lock()
				crashes++
				mu.Unlock()
				f.crash()
			}
			return crashing
		}
		upstreams = append(upstreams, e)
	}
	nodes = startNodes(t, network, serving+holders, func(o *Options, _ *peertest.Node) {
		if s.atReport {
			o.Quarantine = quarantineWithLoss{o.Quarantine, lose}
		}
	}, upstreams...)
	text := textHeldBy(t, "poison", all[serving:], all)
	var group sync.WaitGroup
	count := func(n *int, failed bool) {
		mu.Lock()
		defer mu.Unlock()
		if failed {
			*n++
		}
	}
	for i := range 40 {
		group.Go(func() { count(&unanswered, nodes[i%serving].chat(fmt.Sprint("innocent ", i)).status != 200) })
	}
	for i := range 20 {
		group.Go(func() {
			r := nodes[i%serving].chat(text, api.HeaderTimeoutMs, "20000")
			count(&notRefused, r.status != 422 || r.outcome != "not-run" && r.outcome != "failed")
		})
	}
	group.Wait()
	count(&unanswered, nodes[0].chat("another").status != 200)
	count(&unanswered, nodes[0].slots.inUse() != 0)
	return crashes, notRefused, unanswered
}

// textHeldBy returns a chat text that begins with text and whose fingerprint has holders as owner and successor.
func textHeldBy(t testing.TB, text string, holders, nodes []string) string {
	for i := range 100_000 {
		candidate := fmt.Sprint(text, " ", i)
		b, err := prompt.Parse([]byte(chatBody(candidate, false)), true)
		assert.NilError(t, err)
		top := rendezvous.Top(prompt.Fingerprint("board", "m", string(b.Canonical())), nodes, len(holders))
		if slices.Equal(top, holders) {
			return candidate
		}
	}
	t.Fatal("none of 100,000 texts has a fingerprint with the wanted owner and successor")
	return ""
}

var crashScenarios = map[string]crashScenario{
	"no loss":                             {},
	"owner lost in the first run":         {lost: 1},
	"both holders lost in the first run":  {lost: 2},
	"both lost in the first run, noticed": {lost: 2, lossNoticed: true},
	"both holders lost after the report":  {lost: 2, atReport: true},
	"both lost after the report, noticed": {lost: 2, atReport: true, lossNoticed: true},
}

// Guards the bound of two crashes for a request that crashes every upstream and is sent 20 times at once through
// different nodes, also when the owner of its fingerprint and the successor fail meanwhile. Every harmless request in
// flight must be answered.
func TestCrashingRequestIsContained(t *testing.T) {
	for name, scenario := range crashScenarios {
		t.Run(name, func(t *testing.T) {
			crashes, notRefused, unanswered := scenario.run(t)
			assert.Assert(t, crashes >= 1 && crashes <= 2, "%d crashes", crashes)
			assert.Equal(t, notRefused, 0)
			assert.Equal(t, unanswered, 0)
		})
	}
}

// BenchmarkCrashes reports how many upstreams a crashing request takes down when it is sent 20 times through different
// nodes, and how many of 40 harmless requests sent at the same time are not answered.
func BenchmarkCrashes(b *testing.B) {
	for name, scenario := range crashScenarios {
		b.Run(name, func(b *testing.B) {
			runs, sum, most, lost := 0, 0, 0, 0
			for b.Loop() {
				crashes, _, unanswered := scenario.run(b)
				runs, sum, most, lost = runs+1, sum+crashes, max(most, crashes), lost+unanswered
			}
			b.ReportMetric(float64(sum)/float64(runs), "crashes")
			b.ReportMetric(float64(most), "crashes-max")
			b.ReportMetric(float64(lost)/float64(runs), "innocent-unanswered")
		})
	}
}

// Guards against equal harmless requests that wait for each other in the quarantine: 20 sent at once are all answered,
// and a later one is answered within 1 s.
func TestEqualRequests(t *testing.T) {
	e := newUpstream(t, "e0", api.UpstreamEngine)
	nodes := startNodes(t, peertest.New(), 2, nil, e)
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

// suspectCounter is a quarantine that counts the upstreams of whose crashes it made suspects.
type suspectCounter struct {
	serving.Quarantine
	mu sync.Mutex
	// crashedOn holds the upstream that crashed last under each request, and suspects those of the suspects.
	crashedOn map[string]string
	suspects  map[string]bool
}

func (c *suspectCounter) Check(ctx context.Context, works failedruns.Works, request string) (serving.Verdict, time.Duration) {
	v, wait := c.Quarantine.Check(ctx, works, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if v != serving.VerdictClear {
		c.suspects[c.crashedOn[request]] = true
	}
	return v, wait
}

func (c *suspectCounter) ReportRun(ctx context.Context, works failedruns.Works, request, upstream string, crashed bool) bool {
	if crashed {
		c.mu.Lock()
		c.crashedOn[request] = upstream
		c.mu.Unlock()
	}
	return c.Quarantine.ReportRun(ctx, works, request, upstream, crashed)
}

// Guards against suspecting all requests of five of six upstreams when these crash at the same time, as when a rack is
// lost: each suspect would need an idle upstream.
func TestLossOfManyUpstreamsMakesFewSuspects(t *testing.T) {
	release := make(chan struct{})
	releaseRuns := sync.OnceFunc(func() { close(release) })
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
	counter := &suspectCounter{crashedOn: map[string]string{}, suspects: map[string]bool{}}
	f := startNodes(t, peertest.New(), 1, func(o *Options, _ *peertest.Node) {
		counter.Quarantine = o.Quarantine
		o.Quarantine = counter
	}, upstreams...)[0]
	// A failed test must release the runs before the upstreams are closed, since closing waits for the runs.
	t.Cleanup(releaseRuns)
	const requests = 30
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			r := f.chat(fmt.Sprint(i))
			assert.Check(t, r.status == 200, r.body)
		})
	}
	eventually(t, "the runs have begun", func() bool {
		begun := 0
		for _, u := range upstreams {
			begun += u.runCount()
		}
		return begun >= requests
	})
	releaseRuns()
	group.Wait()
	assert.Assert(t, len(counter.suspects) < 3, "%v", counter.suspects)
}

// BenchmarkEqualAfterCrash measures how far a harmless prompt is delayed after an upstream crashed while it ran both
// that prompt and a request that crashes upstreams. It reports the calls with that prompt that 30 callers get answered
// in 600 ms through four nodes, and their ratio to the calls answered without the crash.
func BenchmarkEqualAfterCrash(b *testing.B) {
	answered := func(withCrash bool) (n int) {
		var upstreams []*fakeUpstream
		for i := range 4 {
			e := newUpstream(b, fmt.Sprint("e", i), api.UpstreamEngine)
			e.fault = func(f *fakeUpstream, _ http.ResponseWriter, _ *http.Request, body []byte) bool {
				time.Sleep(20 * time.Millisecond)
				if bytes.Contains(body, []byte("poison")) {
					f.crash()
					return true
				}
				return false
			}
			upstreams = append(upstreams, e)
		}
		nodes := startNodes(b, peertest.New(), 4, nil, upstreams...)
		nodes[0].chat("same")
		ctx, stop := context.WithTimeout(context.Background(), 600*time.Millisecond)
		defer stop()
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				for ctx.Err() == nil {
					if nodes[i%4].chat("same").status == 200 {
						mu.Lock()
						n++
						mu.Unlock()
					}
				}
			})
		}
		if withCrash {
			nodes[0].chat("poison")
		}
		group.Wait()
		return n
	}
	with, without := 0, 0
	for b.Loop() {
		with, without = with+answered(true), without+answered(false)
	}
	b.ReportMetric(float64(with)/float64(b.N), "calls")
	b.ReportMetric(float64(with)/float64(without), "of-no-crash")
}
