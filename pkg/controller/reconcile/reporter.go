package reconcile

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	// reportMinInterval is the least time between two rounds of reports, and so the time until a failed one is repeated.
	reportMinInterval = time.Second
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// States returns the engine states that this node reads as admission owner; *upstreams.Observer implements it.
type States interface {
	States() (states map[string]upstreams.State, revision int64)
	StatesChanged(after int64) <-chan struct{}
}

// Reporter reports the states of the engines that this node owns to the nodes that reconcile their groups: in full when
// a state changes, and else as a digest every reportInterval.
type Reporter struct {
	controller *Controller
	peers      peer.Caller
	states     States
	// confirmed holds the last report that each node confirmed.
	confirmed map[string]confirmedReport
	// groups holds the group key of each engine at revision groupsRevision of the board's Config section.
	groups         map[string]string
	groupsRevision int64
}

// confirmedReport is a report that a node confirmed. It does not count for another incarnation of that node.
type confirmedReport struct {
	digest      uint64
	incarnation int64
	at          time.Time
}

// NewReporter returns a reporter of the node that c runs on.
func NewReporter(c *Controller, peers peer.Caller, states States) *Reporter {
	return &Reporter{controller: c, peers: peers, states: states, confirmed: map[string]confirmedReport{}, groups: map[string]string{}}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, config := r.controller.Board.Config.Get()
		_, members := r.controller.Board.Members.Get()
		_, states := r.states.States()
		complete := r.reportAll(ctx)
		if !sleep(ctx, reportMinInterval) {
			return nil
		}
		if !complete {
			continue
		}
		reportTimer := time.NewTimer(r.untilNextReport())
		select {
		case <-ctx.Done():
		case <-reportTimer.C:
		case <-r.states.StatesChanged(states):
		case <-r.controller.Board.Config.Changed(config):
		case <-r.controller.Board.Members.Changed(members):
		}
		reportTimer.Stop()
	}
	return nil
}

// sleep waits for d and returns true, or false when ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// untilNextReport returns the time until the next report without a change is due.
func (r *Reporter) untilNextReport() time.Duration {
	wait := reportInterval
	for _, t := range r.confirmed {
		wait = min(wait, max(0, reportInterval-time.Since(t.at)))
	}
	return wait
}

// reportAll sends a report to each node for which states changed or whose last report is reportInterval old. It returns
// true if all reports were confirmed.
func (r *Reporter) reportAll(ctx context.Context) bool {
	due := r.statesByReceiver()
	for node := range r.confirmed {
		if _, still := due[node]; !still {
			// This node owns no engines of that receiver any more; the receiver uses only reports of present owners.
			delete(r.confirmed, node)
		}
	}
	complete := true
	live := r.controller.Board.Members.Value().Live
	for node, states := range due {
		sum, incarnation := digestOf(states), live[node].Incarnation
		before := r.confirmed[node]
		same := before.digest == sum && before.incarnation == incarnation
		if same && time.Since(before.at) < reportInterval {
			continue
		}
		if err := r.sendReport(ctx, node, sum, states, !same); err != nil {
			klog.V(1).InfoS("Engine states not reported", "to", node, "err", err)
			complete = false
			continue
		}
		r.confirmed[node] = confirmedReport{sum, incarnation, time.Now()}
	}
	return complete
}

// statesByReceiver returns the states to report by the node that reconciles the engines, in order of engine names.
func (r *Reporter) statesByReceiver() map[string][]EngineReport {
	cfg, revision := r.controller.Board.Config.Get()
	if revision != r.groupsRevision {
		r.groups, r.groupsRevision = map[string]string{}, revision
		for _, g := range groupsOf(cfg.Register) {
			for _, u := range g.upstreams {
				r.groups[u.Name] = g.key
			}
		}
	}
	states, _ := r.states.States()
	live, owners := r.controller.liveNodes(), map[string]string{}
	out := map[string][]EngineReport{}
	for _, name := range sortedNames(states) {
		key, ok := r.groups[name]
		if !ok {
			continue
		}
		if owners[key] == "" {
			owners[key] = cmp.Or(rendezvous.Owner("reconcile/"+key, live), r.controller.Node)
		}
		out[owners[key]] = append(out[owners[key]], EngineReport{name, states[name].Engine, states[name].NoOrders})
	}
	return out
}

// sendReport sends a report to a node: a full one if full is set or the receiver asks for it, else a digest.
func (r *Reporter) sendReport(ctx context.Context, node string, sum uint64, states []EngineReport, full bool) error {
	for {
		args, reply := &ReportArgs{Node: r.controller.Node, Digest: sum, Full: full}, &ReportReply{}
		if full {
			args.States = slices.Clone(states)
		}
		if err := r.call(ctx, node, args, reply); err != nil || full || !reply.Resend {
			return err
		}
		full = true
	}
}

// call calls Reconcile.Report on a node, which may be this one.
func (r *Reporter) call(ctx context.Context, node string, args *ReportArgs, reply *ReportReply) error {
	if node == r.controller.Node {
		return r.controller.Receiver().Report(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.peers.Call(ctx, node, "Reconcile.Report", args, reply)
}

// digestOf returns a nonzero hash of states, which depends on their order.
func digestOf(states []EngineReport) uint64 {
	// json.Marshal sorts map keys and can't fail for the types of these fields.
	b, _ := json.Marshal(states)
	return xxh3.Hash(b) | 1
}
