package operator

import (
	"net/http"
	"slices"
	"sort"

	"trefoilplank.example/pkg/operator/status"
)

// FleetStatus is the answer to a status call; problems come first.
type FleetStatus struct {
	Problems []status.Problem `json:"problems"`
	// VersionAccepted is the newest version that any node knows to be accepted.
	VersionAccepted int64           `json:"version_accepted"`
	Nodes           []NodeStatus    `json:"nodes"`
	Institutions    []status.Object `json:"institutions"`
	Models          []status.Object `json:"models"`
	Upstreams       []status.Object `json:"upstreams"`
	Jobs            []status.Object `json:"jobs"`
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	answers := ask(r.Context(), s, s.liveNodes(), "Status.Get", Empty{}, func() NodeStatus {
		return s.local.Status(r.Context())
	})
	for i := range answers {
		a := &answers[i]
		m := s.Board.Members.Value().Live[a.node]
		if a.err != nil {
			a.reply = NodeStatus{
				Name: a.node, AvailabilityZone: m.AvailabilityZone, VersionInForce: m.ConfigVersion,
				Draining: m.Draining, Error: a.err.Error(),
			}
		}
		a.reply.LastHeard = m.LastHeard
	}
	writeJSON(w, http.StatusOK, s.join(answers))
}

// join merges the nodes' answers into one view.
func (s *server) join(answers []answer[NodeStatus]) FleetStatus {
	f := FleetStatus{Problems: []status.Problem{}}
	objects := map[status.Kind][]status.Object{}
	for _, a := range answers {
		n := a.reply
		f.Nodes = append(f.Nodes, n)
		f.VersionAccepted = max(f.VersionAccepted, n.VersionAccepted)
		for _, o := range n.Report.Objects {
			o.Node = n.Name
			objects[o.Kind] = append(objects[o.Kind], o)
		}
		for _, p := range n.Report.Problems {
			f.Problems = addProblem(f.Problems, p, n.Name)
		}
	}
	f.Problems = append(f.Problems, s.nodeProblems(f)...)
	c := s.Board.Config.Value()
	var institutions, models, upstreams []status.Object
	for _, i := range c.Register.Institutions {
		institutions = append(institutions, status.Object{Kind: status.KindInstitution, Name: i.Name})
	}
	for _, m := range c.Register.Models {
		models = append(models, s.modelObject(c, m))
	}
	for _, u := range c.Register.Upstreams {
		upstreams = append(upstreams, s.upstreamObject(u))
	}
	f.Institutions = overlay(institutions, objects[status.KindInstitution])
	f.Models = overlay(models, objects[status.KindModel])
	f.Upstreams = overlay(upstreams, objects[status.KindUpstream])
	f.Jobs = overlay(nil, objects[status.KindJob])
	sortProblems(f.Problems)
	return f
}

// addProblem joins the same problem of several nodes; it began when the first node saw it.
func addProblem(problems []status.Problem, p status.Problem, node string) []status.Problem {
	for i := range problems {
		x := &problems[i]
		if x.Kind == p.Kind && x.Name == p.Name && x.Cause == p.Cause {
			if !p.Since.IsZero() && (x.Since.IsZero() || p.Since.Before(x.Since)) {
				x.Since = p.Since
			}
			if !slices.Contains(x.Nodes, node) {
				x.Nodes = append(x.Nodes, node)
			}
			return problems
		}
	}
	p.Nodes = []string{node}
	return append(problems, p)
}

// sortProblems puts the longest-standing problem first; those without a time come last.
func sortProblems(p []status.Problem) {
	sort.SliceStable(p, func(i, j int) bool {
		a, b := p[i].Since, p[j].Since
		if a.IsZero() != b.IsZero() {
			return b.IsZero()
		}
		return a.Before(b)
	})
}

// overlay replaces the register's view of an object by the report of the part responsible for it. When two
// nodes report the same object, as at a change of owner, the later change wins.
func overlay(base, reported []status.Object) []status.Object {
	index := map[string]int{}
	out := append([]status.Object{}, base...)
	for i, o := range out {
		index[o.Name] = i
	}
	fromReport := map[string]bool{}
	for _, o := range reported {
		i, ok := index[o.Name]
		switch {
		case !ok:
			index[o.Name] = len(out)
			out = append(out, o)
		case !fromReport[o.Name] || o.LastChange.After(out[i].LastChange):
			out[i] = o
		}
		fromReport[o.Name] = true
	}
	return out
}
