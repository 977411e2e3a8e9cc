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
	// reportGap is the least time between two rounds of reports, and so how long a lost one waits for the next try.
	reportGap = time.Second
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// States gives the engine states that this node reads as admission owner; *upstreams.Observer implements it.
type States interface {
	States() (states map[string]upstreams.State, revision int64)
	StatesChanged(after int64) <-chan struct{}
}

// Reporter tells the nodes that reconcile the groups what state the engines owned by this node have: in full when one
// changes, and by a digest each reportInterval.
type Reporter struct {
	c      *Controller
	peers  peer.Caller
	states States
	// told is what each node was last told and has confirmed.
	told map[string]told
	// groups holds the key of each engine's group in the configuration groupsOf.
	groups   map[string]string
	groupsOf int64
}

// told is a confirmed report. A new process of the receiver, with another incarnation, knows nothing of it.
type told struct {
	digest      uint64
	incarnation int64
	at          time.Time
}

// NewReporter returns a reporter of the node that c runs on.
func NewReporter(c *Controller, peers peer.Caller, states States) *Reporter {
	return &Reporter{c: c, peers: peers, states: states, told: map[string]told{}, groups: map[string]string{}}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		_, config := r.c.Board.Config.Get()
		_, members := r.c.Board.Members.Get()
		_, states := r.states.States()
		complete := r.round(ctx)
		if !sleep(ctx, reportGap) {
			return nil
		}
		if !complete {
			continue
		}
		again := time.NewTimer(r.due())
		select {
		case <-ctx.Done():
		case <-again.C:
		case <-r.states.StatesChanged(states):
		case <-r.c.Board.Config.Changed(config):
		case <-r.c.Board.Members.Changed(members):
		}
		again.Stop()
	}
	return nil
}

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

// due returns the time until the next digest.
func (r *Reporter) due() time.Duration {
	wait := reportInterval
	for _, t := range r.told {
		wait = min(wait, max(0, reportInterval-time.Since(t.at)))
	}
	return wait
}

// round reports to each node whose engines changed or that was told long ago, and reports whether all confirmed.
func (r *Reporter) round(ctx context.Context) bool {
	due := r.byTarget()
	for node := range r.told {
		if _, still := due[node]; !still {
			// The engines have moved; the receiver takes reports of their present owner only.
			delete(r.told, node)
		}
	}
	complete := true
	live := r.c.Board.Members.Value().Live
	for node, states := range due {
		sum, incarnation := digest(states), live[node].Incarnation
		before := r.told[node]
		same := before.digest == sum && before.incarnation == incarnation
		if same && time.Since(before.at) < reportInterval {
			continue
		}
		if err := r.tell(ctx, node, sum, states, !same); err != nil {
			klog.V(1).InfoS("Engine states not reported", "to", node, "err", err)
			complete = false
			continue
		}
		r.told[node] = told{sum, incarnation, time.Now()}
	}
	return complete
}

// byTarget returns the states to report, in order of names, by the node that reconciles the engines.
func (r *Reporter) byTarget() map[string][]EngineReport {
	cfg, revision := r.c.Board.Config.Get()
	if revision != r.groupsOf {
		r.groups, r.groupsOf = map[string]string{}, revision
		for _, g := range groupsOf(cfg.Register) {
			for _, u := range g.upstreams {
				r.groups[u.Name] = g.key
			}
		}
	}
	states, _ := r.states.States()
	live, owners := r.c.liveNodes(), map[string]string{}
	out := map[string][]EngineReport{}
	for _, name := range sortedNames(states) {
		key, ok := r.groups[name]
		if !ok {
			continue
		}
		if owners[key] == "" {
			owners[key] = cmp.Or(rendezvous.Owner("reconcile/"+key, live), r.c.Node)
		}
		out[owners[key]] = append(out[owners[key]], EngineReport{name, states[name].Engine, states[name].NoOrders})
	}
	return out
}

// tell sends a report, in full when asked to or when the receiver does not have the last one.
func (r *Reporter) tell(ctx context.Context, node string, sum uint64, states []EngineReport, full bool) error {
	for {
		args, reply := &ReportArgs{Node: r.c.Node, Digest: sum, Full: full}, &ReportReply{}
		if full {
			args.States = slices.Clone(states)
		}
		if err := r.call(ctx, node, args, reply); err != nil || full || !reply.Resend {
			return err
		}
		full = true
	}
}

func (r *Reporter) call(ctx context.Context, node string, args *ReportArgs, reply *ReportReply) error {
	if node == r.c.Node {
		return r.c.Receiver().Report(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.peers.Call(ctx, node, "Reconcile.Report", args, reply)
}

// digest returns a hash of states in order, never 0.
func digest(states []EngineReport) uint64 {
	// Maps are encoded in the order of their keys, and no field of a state can fail to be encoded.
	b, _ := json.Marshal(states)
	return xxh3.Hash(b) | 1
}
