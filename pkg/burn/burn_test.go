package burn

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/burn"
)

// handOverPeers is a peer.Caller that passes Burn.Adopt calls for node n2 to a recorder and can reach no other node.
type handOverPeers struct {
	peer.Caller
	recipient *Recorder
}

func (p handOverPeers) Call(_ context.Context, node, method string, args, reply any) error {
	if node != "n2" || method != "Burn.Adopt" {
		return peer.ErrUnreachable
	}
	return (&Service{p.recipient}).Adopt(args.(AdoptArgs), reply.(*AdoptReply))
}

// newRecorder returns a recorder whose clock stands still.
func newRecorder(board *blackboard.Board) *Recorder {
	return NewRecorder(&board.Config, func() time.Time { return time.Unix(1e9, 0) })
}

// Guards against requests that count for the wrong objective, slow or failed requests that count as good, counters of
// removed objectives that are kept, and counters that are lost when a node drains.
func TestRecorder(t *testing.T) {
	board := blackboard.New()
	objective := func(name, class string, m api.Metric) api.Objective {
		return api.Objective{Name: name, Class: class, Metric: m, Latency: api.Duration(time.Second), Target: 0.9}
	}
	rules := api.InstitutionRules{Institution: "a", Objectives: []api.Objective{
		objective("all", "", api.MetricDuration), objective("c", "c", api.MetricDuration), objective("first", "", api.MetricFirstToken),
	}}
	board.Config.Set(api.Config{Rules: api.Rules{Institutions: []api.InstitutionRules{rules}}})
	r := newRecorder(board)
	r.Observe("a", "c", api.MetricDuration, time.Second, true)
	r.Observe("a", "d", api.MetricDuration, 2*time.Second, true)
	r.Observe("a", "c", api.MetricDuration, time.Millisecond, false)
	r.Observe("b", "c", api.MetricDuration, time.Millisecond, true)
	counts := func(r *Recorder) map[string]burn.Count {
		m := map[string]burn.Count{}
		for _, row := range r.Counts(GetArgs{}).Rows {
			m[row.Key.Objective] = row.Counts[burn.Window3d]
		}
		return m
	}
	want := map[string]burn.Count{"all": {Good: 1, Bad: 2}, "c": {Good: 1, Bad: 1}}
	assert.DeepEqual(t, counts(r), want)

	successor := newRecorder(board)
	successor.Observe("a", "d", api.MetricDuration, time.Second, true)
	assert.NilError(t, r.HandOver(context.Background(), handOverPeers{recipient: successor}, blackboard.Members{
		Self: "n1", Live: map[string]blackboard.Member{"n1": {}, "n2": {}, "n3": {Draining: true}},
	}))
	assert.DeepEqual(t, counts(successor), map[string]burn.Count{"all": {Good: 2, Bad: 2}, "c": {Good: 1, Bad: 1}})

	rules.Objectives = rules.Objectives[:1]
	board.Config.Set(api.Config{Rules: api.Rules{Institutions: []api.InstitutionRules{rules}}})
	r.Observe("a", "c", api.MetricDuration, time.Second, true)
	assert.DeepEqual(t, counts(r), map[string]burn.Count{"all": {Good: 2, Bad: 2}})
}
