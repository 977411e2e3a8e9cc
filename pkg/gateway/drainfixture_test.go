package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/serving"
)

// drainedNode is a gateway that serves on a port of its own until it is drained.
type drainedNode struct {
	*fixture
	drainer *drain.Controller
	served  chan error
	// silent makes the upstreams accept requests, or go on with streams, without sending anything more.
	silent *atomic.Bool
}

// startDrainedNode starts a node whose drain takes at most limit. Callers may use its address for two seconds and ttl of it.
func startDrainedNode(t *testing.T, ttl, limit time.Duration, upstreams ...*fakeUpstream) *drainedNode {
	nodes, _, _ := startKeyedNodes(t, 1, upstreams...)
	n := &drainedNode{fixture: nodes[0], served: make(chan error, 1), silent: &atomic.Bool{}}
	for _, u := range upstreams {
		u.fault = n.fallSilent
	}
	for range 40 { // Enough for lookups to be hedged.
		n.recordLookup("status", attempt{res: &serving.Result{Status: 200}}, 10*time.Millisecond)
	}
	n.AddressTTL = ttl
	n.drainer = newDrainer(n.fixture, ttl, limit)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(n.Gateway)
	go func() { n.served <- n.drainer.Serve(server, l, server.Serve) }()
	n.url = "http://" + l.Addr().String()
	return n
}

// newDrainer returns the drain of a fixture.
func newDrainer(f *fixture, ttl, limit time.Duration) *drain.Controller {
	c := drain.New(drain.Options{
		Board: f.board, AddressesValidUntil: f.AddressesValidUntil, AddressTTL: ttl, Servers: &drain.Servers{Gate: f.Gate}, Timeout: limit,
	})
	f.DrainPlan = c.Plan
	return c
}

// fallSilent is the fault of the upstreams.
func (n *drainedNode) fallSilent(u *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
	if n.silent.Load() {
		<-r.Context().Done()
		return true
	}
	if u.Kind == api.UpstreamService {
		time.Sleep(u.tokenInterval)
	}
	return false
}

// drain starts the drain and returns when it began.
func (n *drainedNode) drain() time.Time {
	begun := time.Now()
	go func() { _ = n.drainer.Drain(context.Background()) }()
	eventually(n.t, "draining", func() bool { return n.board.Draining.Value() })
	return begun
}
