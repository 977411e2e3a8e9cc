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

// gapCaller returns answers that arrived at once and are read after a gap in which the process did not run.
type gapCaller struct{ gap time.Duration }

func (g *gapCaller) Call(context.Context, string, string, any, any) error {
	time.Sleep(g.gap)
	return nil
}

func (g *gapCaller) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against loads, grants and revisions of the hub that are seconds old and count as new, because the process did not run between their
// arrival and their reading.
func TestAnswerThatIsReadAfterAGapIsNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testFleet("z", "a", "b", "c")
		applied, answered := 0, []string{}
		e := New(Options{
			Fleet: f, Peers: &gapCaller{3 * time.Second}, Log: &eventlog.Log{},
			OwnLoads: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
			Evidence:    func() map[string]outlier.Evidence { return nil },
			ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) { applied++ },
			HubAnswered: func(hub string, _ map[string]int64) { answered = append(answered, hub) }, Draining: func() bool { return false },
		})
		e.cachedHub = hubChoice{hub: otherHubs(f)[0], until: time.Now().Add(time.Second)}
		e.exchange(context.Background(), nil, nil)
		assert.Check(t, applied == 0, "totals and grants of 3 s ago are applied")
		for _, hub := range answered {
			assert.Check(t, hub == "", "the revisions of 3 s ago count as those of now")
		}
	})
}
