package operator

import (
	"cmp"
	"net/http"
	"slices"
	"sort"
	"strings"

	"trefoilplank.example/pkg/operator/status"
)

// FleetStatus is the answer to a status call, with the problems first.
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
	answers := askMembers(r.Context(), s, s.liveNodes(), "Status.Get", Empty{}, func() NodeStatus {
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
	writeJSON(w, http.StatusOK, s.mergeAnswers(answers))
}

// mergeAnswers merges the answers of the nodes with what this node observes.
func (s *server) mergeAnswers(answers []memberAnswer[NodeStatus]) FleetStatus {
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
	f.Problems = append(f.Problems, s.observedProblems(f)...)
	c := s.Board.Config.Value()
	institutions, burnAlerts := s.describeInstitutions(c, answers)
	f.Problems = append(f.Problems, burnAlerts...)
	var models, upstreams []status.Object
	for _, m := range c.Register.Models {
		models = append(models, s.describeModel(c, m))
	}
	for _, u := range c.Register.Upstreams {
		upstreams = append(upstreams, s.describeUpstream(u))
	}
	f.Institutions = mergeReports(institutions, objects[status.KindInstitution])
	f.Models = mergeReports(models, objects[status.KindModel])
	f.Upstreams = mergeReports(upstreams, objects[status.KindUpstream])
	f.Jobs = mergeReports(nil, objects[status.KindJob])
	describeWaitingJobs(f.Jobs)
	s.problemTimes.fillSince(f.Problems, s.Now())
	sortProblems(f.Problems)
	for _, objects := range [][]status.Object{f.Institutions, f.Models, f.Upstreams, f.Jobs} {
		fillFromProblems(objects, f.Problems)
		s.ConfigChanges.fillReasons(objects)
	}
	return f
}

// describeWaitingJobs sets the status of batch jobs that are accepted but that no node works on yet.
func describeWaitingJobs(jobs []status.Object) {
	for i := range jobs {
		if j := &jobs[i]; j.Observed == "" {
			j.Observed, j.Why = "no node works on it", "accepted; it waits for an idle slot of an upstream that can run it"
		}
	}
}

// addProblem appends a problem, or merges it with the same problem reported by other nodes; the earliest start counts.
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

// sortProblems sorts problems by their start, oldest first; those without a start time come last.
func sortProblems(p []status.Problem) {
	sort.SliceStable(p, func(i, j int) bool {
		a, b := p[i].Since, p[j].Since
		if a.IsZero() != b.IsZero() {
			return b.IsZero()
		}
		return a.Before(b)
	})
}

// mergeReports merges base, the objects that this node knows, with the reports of the components responsible for them.
// If two nodes report for the same component of an object, as during a change of owner, the report with the later
// change is used.
func mergeReports(base, reported []status.Object) []status.Object {
	type partKey struct{ name, part string }
	latest := map[partKey]status.Object{}
	for _, o := range reported {
		k := partKey{o.Name, o.Part}
		if x, ok := latest[k]; !ok || o.LastChange.After(x.LastChange) {
			latest[k] = o
		}
	}
	parts := map[string][]status.Object{}
	for k, o := range latest {
		parts[k.name] = append(parts[k.name], o)
	}
	out := []status.Object{}
	known := map[string]bool{}
	for _, b := range base {
		known[b.Name] = true
		out = append(out, mergeComponents(b, parts[b.Name]))
	}
	names := map[string]bool{}
	for name := range parts {
		names[name] = true
	}
	for _, name := range sortedKeys(names) {
		if !known[name] {
			out = append(out, mergeComponents(status.Object{Kind: parts[name][0].Kind, Name: name}, parts[name]))
		}
	}
	return out
}

// mergeComponents joins the reports of several components about one object, sorted by Part. A base without Part holds
// no observation and is replaced by the reports.
func mergeComponents(base status.Object, parts []status.Object) status.Object {
	if len(parts) == 0 {
		return base
	}
	slices.SortFunc(parts, func(a, b status.Object) int { return cmp.Compare(a.Part, b.Part) })
	if base.Part != "" {
		parts = append([]status.Object{base}, parts...)
	}
	out := parts[0]
	for _, p := range parts[1:] {
		out.Desired = joinText(out.Desired, p.Desired)
		out.Observed = joinText(out.Observed, p.Observed)
		out.Why = joinText(out.Why, p.Why)
		if p.LastChange.After(out.LastChange) {
			out.LastChange = p.LastChange
		}
		if p.Node != "" && !slices.Contains(strings.Split(out.Node, "; "), p.Node) {
			out.Node = joinText(out.Node, p.Node)
		}
	}
	return out
}

// joinText joins two texts with "; ", unless one is empty or both are equal.
func joinText(a, b string) string {
	if a == "" || b == "" || a == b {
		return a + strings.TrimPrefix(b, a)
	}
	return a + "; " + b
}
