package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
)

// soundSilence is how long the sound upstreams of these tests are stopped.
const soundSilence = 1300 * time.Millisecond

// process is the process of an upstream. While it is stopped its kernel goes on to accept connections and data.
type process struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// run returns when the process is not stopped.
func (p *process) run() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// processListener is a listener of a process.
type processListener struct {
	net.Listener
	process *process
}

func (l *processListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.process.run()
	return &processConn{conn, l.process}, err
}

// processConn is a connection of a process.
type processConn struct {
	net.Conn
	process *process
}

func (c *processConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.process.run()
	return n, err
}

func (c *processConn) Write(p []byte) (int, error) {
	c.process.run()
	return c.Conn.Write(p)
}

// paced sends the events that the caller lacks, one every interval.
func paced(w http.ResponseWriter, r *http.Request, interval time.Duration) {
	first := 0
	if after, err := strconv.Atoi(r.Header.Get(testHeaders.LastEventID)); err == nil {
		first = after + 1
	}
	for n := first; n < 10; n++ {
		r.Header.Set(testHeaders.LastEventID, strconv.Itoa(n-1))
		stream(w, r, n+1)
		time.Sleep(interval)
	}
}

// stopsOnce calls stop at the first request, after it has sent a number of events, and streams all events.
func stopsOnce(events int, stop func(f *fixture, name string)) behaviour {
	return func(f *fixture, w http.ResponseWriter, r *http.Request) {
		if len(f.requests()) == 1 {
			stream(w, r, events)
			r.Header.Set(testHeaders.LastEventID, strconv.Itoa(events-1))
			stop(f, r.Header.Get(testHeaders.ExpectInstance))
		}
		paced(w, r, time.Millisecond)
	}
}

// Guards against a stream that is begun at another upstream while the first, whose process is stopped for a second or so,
// still has it and goes on with it.
func TestStreamStaysAtStoppedUpstream(t *testing.T) {
	for _, events := range []int{0, 3} {
		t.Run(fmt.Sprint("after ", events, " events"), func(t *testing.T) {
			t.Parallel()
			stops := stopsOnce(events, func(f *fixture, name string) {
				f.processes[name].stop()
				time.AfterFunc(soundSilence, f.processes[name].resume)
			})
			f := newLinkedFixture(t, &uplink.Options{}, make([]string, 2), stops, stops)
			_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
			assert.NilError(t, err)
			assert.Equal(t, body, allEvents())
			assert.Equal(t, len(f.requests()), 1, "%v", f.requests())
		})
	}
}

// Guards against a stream over a connection through another node that is begun elsewhere because this node's own connections are lost.
func TestStreamOverAnotherNodeStaysAtStoppedUpstream(t *testing.T) {
	stops := stopsOnce(3, func(f *fixture, name string) {
		f.processes[name].stop()
		time.AfterFunc(soundSilence, f.processes[name].resume)
	})
	f := newLinkedFixture(t, &uplink.Options{
		Dial: func(_ context.Context, network, _ string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EHOSTUNREACH}
		},
		Helpers: func(string) []string { return []string{"other"} },
		Relay: func(ctx context.Context, _, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}, make([]string, 4), stops, stops, stops, stops)
	_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
	assert.NilError(t, err)
	assert.Equal(t, body, allEvents())
	assert.Equal(t, len(f.requests()), 1, "the stream went on elsewhere: %v", f.requests())
}

// Guards against a silence of all upstreams of a service being taken for a cut of the node: nothing is given up, sent again or
// relayed because of it.
func TestSilenceOfAllUpstreamsEndsNothing(t *testing.T) {
	var relayed atomic.Int64
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) { paced(w, r, 40*time.Millisecond) }
	f := newLinkedFixture(t, &uplink.Options{
		Helpers: func(string) []string { return []string{"other"} },
		Relay: func(ctx context.Context, _, address string) (net.Conn, error) {
			relayed.Add(1)
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}, make([]string, 3), slow, slow, slow)
	var calls sync.WaitGroup
	const streams = 9
	for n := range streams {
		calls.Go(func() {
			target := []string{"/stream/a", "/once/a"}[n%2]
			_, body, err := f.callWith(t, target, "prompt", map[string]string{testHeaders.Deadline: "2900", testHeaders.RequestID: fmt.Sprint("r", n)})
			assert.Check(t, err)
			assert.Check(t, body == allEvents())
		})
	}
	time.Sleep(150 * time.Millisecond)
	for _, p := range f.processes {
		p.stop()
		time.AfterFunc(soundSilence, p.resume)
	}
	calls.Wait()
	assert.Equal(t, len(f.requests()), streams)
	assert.Equal(t, relayed.Load(), int64(0))
	assert.Equal(t, f.links.ReachedThroughOthers(), 0)
}

// Guards against a stream that waits for an upstream which is gone: its VM answers nothing, its process has ended without
// closing connections, another process has started there, or it is silent for longer than any sound one.
func TestStreamLeavesUpstreamThatIsGone(t *testing.T) {
	const atOnce = time.Second
	for name, c := range map[string]struct {
		stop   func(f *fixture, gone *atomic.Bool, name string)
		within time.Duration
	}{
		"VM":      {func(_ *fixture, gone *atomic.Bool, _ string) { gone.Store(true) }, atOnce},
		"process": {func(f *fixture, _ *atomic.Bool, name string) { f.upstreams[name].Listener.Close() }, atOnce},
		"restart": {func(f *fixture, _ *atomic.Bool, name string) {
			f.links.SetUpstreams([]reach.Upstream{{Address: f.upstreams[name].Listener.Addr().String(), Service: "s", Incarnation: 2}})
		}, atOnce},
		"hung": {func(*fixture, *atomic.Bool, string) {}, reach.SoundSilence + atOnce},
	} {
		for _, events := range []int{0, 3} {
			t.Run(fmt.Sprint(name, " after ", events, " events"), func(t *testing.T) {
				t.Parallel()
				var gone atomic.Bool
				stops := stopsOnce(events, func(f *fixture, name string) {
					f.processes[name].stop()
					c.stop(f, &gone, name)
				})
				var f *fixture
				f = newLinkedFixture(t, &uplink.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					if requests := f.requests(); gone.Load() && address == f.upstreams[requests[0].upstream].Listener.Addr().String() {
						<-ctx.Done()
						return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
					}
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}}, make([]string, 2), stops, stops)
				begun := time.Now()
				_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "5000"})
				assert.NilError(t, err)
				assert.Equal(t, body, allEvents())
				assert.Equal(t, len(f.requests()), 2)
				assert.Assert(t, time.Since(begun) < c.within, "the stream ended after %s", time.Since(begun))
			})
		}
	}
}

// Guards against requests that are sent to a stopped upstream while others are heard, and lie there unread until it goes on.
func TestNewRequestsAvoidStoppedUpstream(t *testing.T) {
	const (
		upstreams = 4
		interval  = 15 * time.Millisecond
		silence   = 1200 * time.Millisecond
		slots     = 32
		// detection is how long a silence may last before it is noticed.
		detection = 400 * time.Millisecond
	)
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) { paced(w, r, 8*time.Millisecond) }
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, upstreams), slow, slow, slow, slow)
	for n := range f.list {
		f.list[n].Slots = slots
	}
	f.placer.SetUpstreams(f.list)
	var calls sync.WaitGroup
	send := func(until time.Time) {
		for time.Now().Before(until) {
			calls.Go(func() {
				_, body, err := f.callWith(t, "/once/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
				assert.Check(t, err)
				assert.Check(t, body == allEvents())
			})
			time.Sleep(interval)
		}
	}
	count := func() (all, stopped int) {
		for _, r := range f.requests() {
			if all++; r.upstream == "u0" {
				stopped++
			}
		}
		return all, stopped
	}
	send(time.Now().Add(400 * time.Millisecond))
	_, before := count()
	f.processes["u0"].stop()
	begun := time.Now()
	send(begun.Add(silence))
	f.processes["u0"].resume()
	calls.Wait()
	all, stopped := count()
	stopped -= before
	t.Logf("%d of %d requests were sent to the stopped upstream", stopped, all)
	const limit = int(detection/interval) / upstreams
	assert.Assert(t, stopped <= limit, "%d requests were sent to the stopped upstream, more than its share of %s", stopped, detection)
}

// Guards against an upstream that is ejected after it was silent for less than a second, since requests that may run twice were
// sent to others meanwhile.
func TestShortSilenceEjectsNoUpstream(t *testing.T) {
	behaves := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/once/a" {
			paced(w, r, 40*time.Millisecond)
			return
		}
		time.Sleep(150 * time.Millisecond)
		fmt.Fprint(w, "answer")
	}
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 2), behaves, behaves)
	setDraining := func(draining bool) {
		f.list[1].Draining = draining
		f.placer.SetUpstreams(f.list)
	}
	setDraining(true)
	var calls sync.WaitGroup
	for _, target := range []string{"/once/a", "/idempotent/a", "/idempotent/a", "/idempotent/a", "/idempotent/a"} {
		calls.Go(func() {
			resp, _, err := f.call(t, target, "body")
			assert.Check(t, err)
			assert.Check(t, resp.StatusCode == http.StatusOK)
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.processes["u0"].stop()
	setDraining(false)
	time.Sleep(700 * time.Millisecond)
	assert.Assert(t, len(f.requests()) > 5, "no request was sent to the other upstream")
	f.processes["u0"].resume()
	time.Sleep(60 * time.Millisecond)
	assert.Assert(t, f.placer.HasFreeSlot(dispatch.OnlineRequest{Service: "s", Exclude: []string{"u1"}}), "the upstream gets no requests")
	calls.Wait()
}

// Guards against an upstream that counts as silent although it answers on connections kept while its entry was away.
func TestKeptConnectionsAreHeardAfterAnEntryCameBack(t *testing.T) {
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 1), func(_ *fixture, w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })
	call := func() {
		_, body, err := f.callWith(t, "/idempotent/a", "prompt", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer")
	}
	call()
	address := f.list[0].Address
	f.links.SetUpstreams(nil)
	f.links.SetUpstreams([]reach.Upstream{{Address: address, Service: "s"}})
	begun := time.Now()
	call()
	assert.Assert(t, f.links.HeardAt(address).After(begun), "heard %s before the request", begun.Sub(f.links.HeardAt(address)))
}
