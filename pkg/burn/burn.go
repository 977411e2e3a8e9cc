// Package burn records how requests meet their service-level objectives on one node.
//
// Counters live in memory. What survives of a node: on a graceful drain it hands its counters to another
// member (HandOver), which reports them from then on. After a crash its counters are lost, good and bad alike,
// so that the burn rates rest on the other nodes' requests and stay comparable. Windows of a
// recorder that is younger than the window are marked by Since in the report.
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

// Key names an objective.
type Key struct{ Institution, Objective string }

// Recorder counts the requests of one node against the objectives in force. It is safe for concurrent use.
type Recorder struct {
	config *blackboard.Section[api.Config]
	now    func() time.Time
	since  time.Time

	mu sync.Mutex
	// revision is the revision of the configuration that rules was built from.
	revision int64
	rules    map[string][]api.Objective
	series   map[Key]*burn.Series
}

// NewRecorder returns an empty recorder that follows the configuration section.
func NewRecorder(config *blackboard.Section[api.Config], now func() time.Time) *Recorder {
	return &Recorder{config: config, now: now, since: now(), series: map[Key]*burn.Series{}}
}

// Observe counts one finished request against the objectives of its institution that cover its class and
// metric. A request that is not ok is bad whatever its latency.
func (r *Recorder) Observe(institution, class string, metric api.Metric, latency time.Duration, ok bool) {
	now := r.now()
	c, revision := r.config.Get()
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision != r.revision || r.rules == nil {
		r.follow(c, revision)
	}
	for _, o := range r.rules[institution] {
		if o.Metric == metric && (o.Class == "" || o.Class == class) {
			r.at(Key{institution, o.Name}).Observe(now, ok && latency <= time.Duration(o.Latency))
		}
	}
}

// follow takes over new rules. Series of objectives that no longer exist are dropped, so that a renamed
// objective starts afresh and memory stays bounded.
func (r *Recorder) follow(c api.Config, revision int64) {
	r.revision, r.rules = revision, map[string][]api.Objective{}
	known := map[Key]bool{}
	for _, i := range c.Rules.Institutions {
		r.rules[i.Institution] = i.Objectives
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

func (r *Recorder) at(k Key) *burn.Series {
	s := r.series[k]
	if s == nil {
		s = burn.NewSeries()
		r.series[k] = s
	}
	return s
}

// Row is the count of one objective.
type Row struct {
	Key    Key
	Counts burn.Counts
}

// GetArgs selects an institution; empty means all.
type GetArgs struct{ Institution string }

// GetReply is the answer of one node.
type GetReply struct {
	// Since is when the node began to count.
	Since time.Time
	Rows  []Row
}

// Get returns the node's counts, ordered by key.
func (r *Recorder) Get(a GetArgs) GetReply {
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

// AdoptArgs are the counters of a departing node.
type AdoptArgs struct {
	Node   string
	Series map[Key]burn.Snapshot
}

// AdoptReply says how many series were taken over.
type AdoptReply struct{ Series int }

// ErrNoSuccessor means that no other member can take counters over.
var ErrNoSuccessor = errs.New("no live member takes the burn counters over")

// HandOver sends this node's counters to another live member; a node calls it once at the end of its drain. It is
// not repeated after an error, since the member may have taken them: losing counts keeps burn rates unbiased,
// counting them twice does not.
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

// Service is the net/rpc receiver of a recorder; register it as "Burn".
type Service struct{ Recorder *Recorder }

// Get returns the node's counts.
func (s *Service) Get(a GetArgs, reply *GetReply) error {
	*reply = s.Recorder.Get(a)
	return nil
}

// Adopt adds the counters of a departing node.
func (s *Service) Adopt(a AdoptArgs, reply *AdoptReply) error {
	s.Recorder.mu.Lock()
	defer s.Recorder.mu.Unlock()
	for k, snapshot := range a.Series {
		s.Recorder.at(k).Merge(snapshot)
	}
	reply.Series = len(a.Series)
	return nil
}
