package operator

import (
	"fmt"
	"slices"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/operator/status"
)

// describeModel returns the status of a model: its replicas by the register, and how many of the upstreams that list
// it can serve it, as this node observes them.
func (s *server) describeModel(c api.Config, m api.Model) status.Object {
	listed, ready := 0, 0
	observed := s.Board.Upstreams.Value()
	for _, u := range c.Register.Upstreams {
		if !slices.Contains(u.Models, m.Name) {
			continue
		}
		listed++
		x, known := observed[u.Name]
		if known && x.Health != blackboard.HealthEjected && x.Health != blackboard.HealthLeaving &&
			(x.LoadedModels == nil || slices.Contains(x.LoadedModels, m.Name)) {
			ready++
		}
	}
	desired := m.Replicas
	if desired == 0 {
		desired = listed
	}
	return status.Object{
		Kind: status.KindModel, Name: m.Name, Node: s.Node,
		Desired:  fmt.Sprintf("%d replicas, at least %d, version %q", desired, m.MinReplicas, m.Version),
		Observed: fmt.Sprintf("%d of %d upstreams serve it", ready, listed),
	}
}

// describeUpstream returns the status of an upstream as this node observes it.
func (s *server) describeUpstream(u api.Upstream) status.Object {
	o := status.Object{Kind: status.KindUpstream, Name: u.Name, Desired: "serving", Observed: "not observed yet", Node: s.Node}
	if u.Leaving {
		o.Desired = "leaving"
	}
	if x, ok := s.Board.Upstreams.Value()[u.Name]; ok {
		// mergeComponents joins this health with the reports of other components.
		o.Part = "health"
		o.Observed, o.LastChange, o.Why = string(x.Health), x.Since, x.Reason
	}
	return o
}

// observedProblems returns the problems that this node sees: nodes without an answer or with an old configuration,
// ejected upstreams, and a missing configuration.
func (s *server) observedProblems(f FleetStatus) []status.Problem {
	var problems []status.Problem
	for _, n := range f.Nodes {
		switch {
		case !n.Answered && n.Draining:
			// A draining node may stop before it is removed from the member list; that is no problem.
		case !n.Answered:
			problems = append(problems, status.Problem{
				Name: n.Name, Cause: "the node gave no status: " + n.Error, Since: n.LastHeard,
				System:   "keeps it as a member until its heartbeat is missing, then moves its roles to other nodes",
				Operator: "check the node's VM and its peer address", Nodes: []string{s.Node},
			})
		case n.VersionInForce < f.VersionAccepted:
			problems = append(problems, status.Problem{
				Name:     n.Name,
				Cause:    fmt.Sprintf("version %d is in force, version %d is accepted", n.VersionInForce, f.VersionAccepted),
				System:   "relays push the version and digests repair gaps within 10 s",
				Operator: "if it lasts longer, check the node's connection to its availability zone", Nodes: []string{n.Name},
			})
		}
	}
	for name, u := range s.Board.Upstreams.Value() {
		if u.Health == blackboard.HealthEjected {
			problems = append(problems, status.Problem{
				Kind: status.KindUpstream, Name: name, Cause: "ejected: " + u.Reason, Since: u.Since,
				System:   "sends it no requests and tries it again with growing intervals",
				Operator: "check the upstream's VM, or mark the upstream as leaving", Nodes: []string{s.Node},
			})
		}
	}
	return append(problems, s.configProblems()...)
}

// configProblems returns a problem if this node has no configuration.
func (s *server) configProblems() []status.Problem {
	if _, revision := s.Board.Config.Get(); revision > 0 {
		return nil
	}
	return []status.Problem{{
		Name: s.Node, Cause: "the node has no configuration",
		System:   "reads it from the store and from peers of its availability zone",
		Operator: "apply a register and rules if there were none, or check the store", Nodes: []string{s.Node},
	}}
}
