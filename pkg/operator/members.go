package operator

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator/status"
)

// Local answers for one node; it is what the net/rpc receivers and the node's own HTTP calls use.
type Local struct{ o Options }

// NewLocal returns the answers of the node that o describes.
func NewLocal(o Options) *Local { return &Local{o} }

// Register makes the node answer the calls of other members' operator interfaces.
func (l *Local) Register(r peer.Registrar) error {
	err := errors.Join(r.Register("Status", &StatusService{l}), r.Register("Explain", &ExplainService{l}))
	if l.o.Burn != nil {
		err = errors.Join(err, r.Register("Burn", &burn.Service{Recorder: l.o.Burn}))
	}
	return err
}

// Empty is the argument of calls without one; gob needs a struct with a field.
type Empty struct{ Unused bool }

// NodeStatus is the status of one node.
type NodeStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// VersionAccepted is the newest version that the node knows to be accepted, VersionInForce the one it uses.
	VersionAccepted int64 `json:"version_accepted"`
	VersionInForce  int64 `json:"version_in_force"`
	Draining        bool  `json:"draining"`
	// Answered is false for a live member that gave no answer in time; Error says why.
	Answered bool   `json:"answered"`
	Error    string `json:"error,omitempty"`
	// LastHeard is when the member was last heard of by the node that answers.
	LastHeard time.Time `json:"last_heard,omitzero"`

	Report status.Report `json:"-"`
	Burn   burn.GetReply `json:"-"`
}

// StatusService is the net/rpc receiver "Status".
type StatusService struct{ local *Local }

// Get returns the status of the node.
func (s *StatusService) Get(_ Empty, reply *NodeStatus) error {
	*reply = s.local.Status(context.Background())
	return nil
}

// providerTimeout bounds the wait for the parts of the own node, which answer from memory.
const providerTimeout = 500 * time.Millisecond

// Status returns the status of this node.
func (l *Local) Status(ctx context.Context) NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	n := NodeStatus{
		Name: l.o.Node, Answered: true, VersionInForce: l.o.Board.Config.Value().Version,
		Draining:         l.o.Board.Draining.Value(),
		AvailabilityZone: l.o.Board.Members.Value().Live[l.o.Node].AvailabilityZone,
	}
	n.VersionAccepted = n.VersionInForce
	if l.o.Config != nil {
		n.VersionAccepted = max(n.VersionAccepted, l.o.Config.Accepted())
	}
	if l.o.Burn != nil {
		n.Burn = l.o.Burn.Get(burn.GetArgs{})
	}
	for _, p := range l.o.Providers {
		r := p.Status(ctx)
		n.Report.Objects = append(n.Report.Objects, r.Objects...)
		n.Report.Problems = append(n.Report.Problems, r.Problems...)
	}
	return n
}

// ExplainService is the net/rpc receiver "Explain".
type ExplainService struct{ local *Local }

// ExplainReply holds entries in JSON, since gob refuses values of types that it was not told of.
type ExplainReply struct{ JSON []byte }

// Get returns the matching entries of the node.
func (s *ExplainService) Get(q explain.Query, reply *ExplainReply) (err error) {
	reply.JSON, err = json.Marshal(s.local.Explain(q))
	return err
}

// Explain returns the matching entries of this node.
func (l *Local) Explain(q explain.Query) []explain.Entry {
	if l.o.Explain == nil {
		return nil
	}
	return l.o.Explain.Find(q)
}

// Silent is a member that gave no answer.
type Silent struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

// answer is the outcome of asking one member.
type answer[T any] struct {
	node  string
	reply T
	err   error
}

// fanOutLimit bounds the calls in flight, so that asking 380 members does not fill the node's sockets at once.
const fanOutLimit = 64

// ask calls method on the nodes, each within the member timeout, and returns the answers in order of name.
// The own node is answered by own, without the network.
func ask[A, T any](ctx context.Context, s *server, nodes []string, method string, args A, own func() T) []answer[T] {
	answers := make([]answer[T], len(nodes))
	slots := make(chan struct{}, fanOutLimit)
	var wg sync.WaitGroup
	for i, n := range nodes {
		answers[i].node = n
		if n == s.Node {
			answers[i].reply = own()
			continue
		}
		if s.Peers == nil {
			answers[i].err = peer.ErrUnreachable
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, s.MemberTimeout)
			defer cancel()
			// The reply is only read after a call without error, since a late answer may still be written to it.
			reply := new(T)
			if answers[i].err = s.Peers.Call(callCtx, n, method, args, reply); answers[i].err == nil {
				answers[i].reply = *reply
			}
		})
	}
	wg.Wait()
	return answers
}

// liveNodes returns the names of the live members and of this node, sorted.
func (s *server) liveNodes() []string {
	names := map[string]bool{s.Node: true}
	for n := range s.Board.Members.Value().Live {
		names[n] = true
	}
	return sortedKeys(names)
}

func silentOf[T any](answers []answer[T]) []Silent {
	silent := []Silent{}
	for _, a := range answers {
		if a.err != nil {
			silent = append(silent, Silent{a.node, a.err.Error()})
		}
	}
	sort.Slice(silent, func(i, j int) bool { return silent[i].Node < silent[j].Node })
	return silent
}
