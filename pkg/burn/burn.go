// Package burn counts, on one node, the requests that meet and miss their service-level objectives.
//
// Counters are kept in memory. A node that drains hands its counters to another member (HandOver), which reports them
// from then on. When a node crashes, its counters are lost, good and bad alike: burn rates are then computed from the
// other nodes' requests and stay comparable. GetReply.Since shows when a recorder is younger than a window.
package burn

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Key identifies an objective of an institution.
type Key struct{ Institution, Objective string }

// Recorder counts the requests of one node against the objectives in force. It is safe for concurrent use.
type Recorder struct {
	config *blackboard.Section[api.Config]
	now    func() time.Time
	since  time.Time

	mu sync.Mutex
	// revision is the revision of the configuration section that objectives was built from.
	revision int64
	// objectives holds the objectives by institution.
	objectives map[string][]api.Objective
	series     map[Key]*burn.Series
}

// NewRecorder returns an empty recorder that uses the objectives of the configuration in force.
func NewRecorder(config *blackboard.Section[api.Config], now func() time.Time) *Recorder {
	return &Recorder{config: config, now: now, since: now(), series: map[Key]*burn.Series{}}
}

// Observe counts one finished request for each objective of its institution that covers its class and metric. A request
// that is not ok counts as bad whatever its latency.
func (r *Recorder) Observe(institution, class string, metric api.Metric, latency time.Duration, ok bool) {
	now := r.now()
	c, revision := r.config.Get()
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision != r.revision || r.objectives == nil {
		r.updateRules(c, revision)
	}
	for _, o := range r.objectives[institution] {
		if o.Metric == metric && (o.Class == "" || o.Class == class) {
			r.seriesOf(Key{institution, o.Name}).Observe(now, ok && latency <= time.Duration(o.Latency))
		}
	}
}

// updateRules switches to the rules of a new configuration. It drops the series of objectives that no longer exist, so
// that a renamed objective starts with empty counters and memory stays bounded.
func (r *Recorder) updateRules(c api.Config, revision int64) {
	r.revision, r.objectives = revision, map[string][]api.Objective{}
	known := map[Key]bool{}
	for _, i := range c.Rules.Institutions {
		r.objectives[i.Institution] = i.Objectives
		for _, o := range i.Objectives {
			known[Key{i.Institution, o.Name}] = true
		}
	}
	for k := range r.series {
		if !known[k] {
			delete(r.series, k)
		}
	}
}

// seriesOf returns the series of an objective and creates it if needed. r.mu is held.
func (r *Recorder) seriesOf(k Key) *burn.Series {
	s := r.series[k]
	if s == nil {
		s = burn.NewSeries()
		r.series[k] = s
	}
	return s
}

// Row holds the counts of one objective.
type Row struct {
	Key    Key
	Counts burn.Counts
}

// GetArgs selects an institution; empty means all.
type GetArgs struct{ Institution string }

// GetReply holds the counts of one node.
type GetReply struct {
	// Since is when the node began to count; windows that reach back further are incomplete.
	Since time.Time
	Rows  []Row
}

// Counts returns the node's counts, ordered by key.
func (r *Recorder) Counts(a GetArgs) GetReply {
	now := r.now()
	reply := GetReply{Since: r.since}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, s := range r.series {
		if a.Institution == "" || a.Institution == k.Institution {
			reply.Rows = append(reply.Rows, Row{k, s.Counts(now)})
		}
	}
	sort.Slice(reply.Rows, func(i, j int) bool {
		x, y := reply.Rows[i].Key, reply.Rows[j].Key
		return x.Institution < y.Institution || (x.Institution == y.Institution && x.Objective < y.Objective)
	})
	return reply
}

// AdoptArgs holds the counters of a node that stops.
type AdoptArgs struct {
	Node   string
	Series map[Key]burn.Snapshot
}

// AdoptReply holds the number of series that were added.
type AdoptReply struct{ Series int }

// ErrNoSuccessor means that no other live member exists that is not draining as well.
var ErrNoSuccessor = errs.New("no live member can take over the burn counters")

// HandOver sends this node's counters to another live member; a node calls it once, at the end of its drain. It must
// not be repeated after an error, since the member may have added the counters already: lost counts leave burn rates
// unbiased, counts that are added twice do not.
func (r *Recorder) HandOver(ctx context.Context, peers peer.Caller, members blackboard.Members) error {
	var others []string
	for name, m := range members.Live {
		if name != members.Self && !m.Draining {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return ErrNoSuccessor
	}
	self, to := members.Self, rendezvous.Owner("burn/"+members.Self, others)
	now := r.now()
	args := AdoptArgs{Node: self, Series: map[Key]burn.Snapshot{}}
	r.mu.Lock()
	for k, s := range r.series {
		args.Series[k] = s.Snapshot(now)
	}
	r.mu.Unlock()
	return peers.Call(ctx, to, "Burn.Adopt", args, new(AdoptReply))
}

// Service is the net/rpc receiver of a recorder. It must be registered as "Burn".
type Service struct{ Recorder *Recorder }

// Get returns the node's counts.
func (s *Service) Get(a GetArgs, reply *GetReply) error {
	*reply = s.Recorder.Counts(a)
	return nil
}

// Adopt adds the counters of a node that stops to the recorder's.
func (s *Service) Adopt(a AdoptArgs, reply *AdoptReply) error {
	s.Recorder.mu.Lock()
	defer s.Recorder.mu.Unlock()
	for k, snapshot := range a.Series {
		s.Recorder.seriesOf(k).Merge(snapshot)
	}
	reply.Series = len(a.Series)
	return nil
}
