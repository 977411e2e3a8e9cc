package loadshare

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

// slowCaller answers calls after a while.
type slowCaller struct{ after time.Duration }

func (s *slowCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	select {
	case <-time.After(s.after):
		return nil
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

func (s *slowCaller) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against calls of all nodes elsewhere for a short pause of the hub, and against a hub that is late and not noticed to be before its
// exchange times out.
func TestLateHubIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		answers time.Duration
		want    int
	}{"short_pause": {150 * time.Millisecond, 0}, "late": {300 * time.Millisecond, 1}, "stopped": {time.Hour, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var next []string
				var at time.Duration
				begun := time.Now()
				f := testFleet("z", "a", "b", "c")
				ranked := otherHubs(f)
				e := New(Options{
					Fleet: f, Peers: &slowCaller{c.answers}, Log: &eventlog.Log{},
					OwnLoads: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
					Evidence:    func() map[string]outlier.Evidence { return nil },
					ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {},
					HubAnswered: func(string, map[string]int64) {}, Draining: func() bool { return false },
					HubLate: func(n string) { next, at = append(next, n), time.Since(begun) },
				})
				e.cachedHub = hubChoice{hub: ranked[0], until: begun.Add(time.Second)}
				e.exchange(context.Background(), nil, nil)
				time.Sleep(time.Second)
				synctest.Wait()
				assert.Equal(t, len(next), c.want)
				if c.want > 0 {
					assert.Equal(t, next[0], ranked[1])
					assert.Equal(t, at, hubLate)
				}
			})
		})
	}
}
