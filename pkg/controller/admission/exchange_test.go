package admission

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
)

// countingPeers counts calls and answers each with an empty reply.
type countingPeers struct{ calls atomic.Int64 }

func (p *countingPeers) Call(context.Context, string, string, any, any) error {
	p.calls.Add(1)
	return nil
}

func (p *countingPeers) CallAddress(context.Context, string, string, any, any) error { return nil }

// Guards against asking one owner for loads each second in a large fleet, where asking all owners in turn takes minutes
// anyway, and against asking less often in a small fleet, where it takes seconds.
func TestLoadsAreAskedLessOftenInLargeFleets(t *testing.T) {
	for nodes, most := range map[int]int64{8: 60, 380: 18} {
		synctest.Test(t, func(t *testing.T) {
			b, live, ups := blackboard.New(), map[string]blackboard.Member{}, []api.Upstream{}
			for i := range nodes {
				live[fmt.Sprint("n", i)] = blackboard.Member{}
				for j := range 4 {
					ups = append(ups, api.Upstream{Name: fmt.Sprint("u", i, "-", j), Kind: api.UpstreamEngine, Models: []string{"m"}})
				}
			}
			b.Members.Set(blackboard.Members{Self: "n0", Live: live})
			b.Config.Set(api.Config{Register: api.Register{Upstreams: ups}})
			peers := &countingPeers{}
			c, err := New(Options{Self: "n0", Board: b, Peers: peers})
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = c.Run(ctx) }()
			// Start half a second after a tick, so that the minute contains exactly 60 ticks.
			time.Sleep(10*time.Second + 500*time.Millisecond)
			before := peers.calls.Load()
			time.Sleep(time.Minute)
			calls := peers.calls.Load() - before
			assert.Assert(t, calls <= most && calls >= most/2, "%d calls in a minute with %d nodes", calls, nodes)
		})
	}
}
