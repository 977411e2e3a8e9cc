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

// LocalNode returns the status and explain entries of one node. The node's HTTP handlers and its net/rpc receivers use
// it.
type LocalNode struct{ options Options }

// NewLocalNode returns the LocalNode of the node that o describes.
func NewLocalNode(o Options) *LocalNode { return &LocalNode{o} }

// Register registers the net/rpc receivers that the operators' interfaces of other members call.
func (l *LocalNode) Register(r peer.Registrar) error {
	err := errors.Join(r.Register("Status", &StatusService{l}), r.Register("Explain", &ExplainService{l}))
	if l.options.Burn != nil {
		err = errors.Join(err, r.Register("Burn", &burn.Service{Recorder: l.options.Burn}))
	}
	return err
}

// Empty is the argument of calls that need none; gob requires a struct with an exported field.
type Empty struct{ Unused bool }

// NodeStatus is the status of one node.
type NodeStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// VersionAccepted is the newest configuration version that the node knows to be accepted, VersionInForce the one
	// that it uses.
	VersionAccepted int64 `json:"version_accepted"`
	VersionInForce  int64 `json:"version_in_force"`
	Draining        bool  `json:"draining"`
	// Answered is false for a live member that did not answer in time; Error says why.
	Answered bool   `json:"answered"`
	Error    string `json:"error,omitempty"`
	// LastHeard is when the answering node last heard of the member.
	LastHeard time.Time `json:"last_heard,omitzero"`

	Report status.Report `json:"-"`
	Burn   burn.GetReply `json:"-"`
}

// StatusService is the net/rpc receiver "Status".
type StatusService struct{ local *LocalNode }

// Get returns the status of the node.
func (s *StatusService) Get(_ Empty, reply *NodeStatus) error {
	*reply = s.local.Status(context.Background())
	return nil
}

// providerTimeout bounds the wait for the status providers of this node, which answer from memory.
const providerTimeout = 500 * time.Millisecond

// Status returns the status of this node.
func (l *LocalNode) Status(ctx context.Context) NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	n := NodeStatus{
		Name: l.options.Node, Answered: true, VersionInForce: l.options.Board.Config.Value().Version,
		Draining:         l.options.Board.Draining.Value(),
		AvailabilityZone: l.options.Board.Members.Value().Live[l.options.Node].AvailabilityZone,
	}
	n.VersionAccepted = n.VersionInForce
	if l.options.Config != nil {
		n.VersionAccepted = max(n.VersionAccepted, l.options.Config.Accepted())
	}
	if l.options.Burn != nil {
		n.Burn = l.options.Burn.Counts(burn.GetArgs{})
	}
	for _, p := range l.options.Providers {
		r := p.Status(ctx)
		n.Report.Objects = append(n.Report.Objects, r.Objects...)
		n.Report.Problems = append(n.Report.Problems, r.Problems...)
	}
	return n
}

// ExplainService is the net/rpc receiver "Explain".
type ExplainService struct{ local *LocalNode }

// ExplainReply holds explain entries as JSON, since gob can't encode interface values of unregistered types.
type ExplainReply struct{ JSON []byte }

// Get returns the matching explain entries of the node.
func (s *ExplainService) Get(q explain.Query, reply *ExplainReply) (err error) {
	reply.JSON, err = json.Marshal(s.local.Explain(q))
	return err
}

// Explain returns the matching explain entries of this node.
func (l *LocalNode) Explain(q explain.Query) []explain.Entry {
	if l.options.Explain == nil {
		return nil
	}
	return l.options.Explain.Find(q)
}

// UnansweredNode is a member that did not answer, with the error of the call.
type UnansweredNode struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

// memberAnswer is the reply of one member, or the error of the call to it.
type memberAnswer[T any] struct {
	node  string
	reply T
	err   error
}

// fanOutLimit bounds the concurrent calls to members, so that asking 380 members does not exhaust the node's sockets.
const fanOutLimit = 64

// askMembers calls method on each of the nodes within MemberTimeout and returns the answers in the order of nodes.
// answerLocally answers for this node, without a network call.
func askMembers[A, T any](ctx context.Context, s *server, nodes []string, method string, args A, answerLocally func() T) []memberAnswer[T] {
	answers := make([]memberAnswer[T], len(nodes))
	slots := make(chan struct{}, fanOutLimit)
	var wg sync.WaitGroup
	for i, n := range nodes {
		answers[i].node = n
		if n == s.Node {
			answers[i].reply = answerLocally()
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
			// The reply is read only after a call without error: after a timeout, a late answer may still be written
			// to it.
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

// unansweredOf returns the members that did not answer, sorted by name.
func unansweredOf[T any](answers []memberAnswer[T]) []UnansweredNode {
	unanswered := []UnansweredNode{}
	for _, a := range answers {
		if a.err != nil {
			unanswered = append(unanswered, UnansweredNode{a.node, a.err.Error()})
		}
	}
	sort.Slice(unanswered, func(i, j int) bool { return unanswered[i].Node < unanswered[j].Node })
	return unanswered
}
