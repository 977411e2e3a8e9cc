package operator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/burn"
	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/operator/status"
)

// describeInstitutions returns the status of each institution: its share, rate and objectives by the rules, and how its
// requests met the objectives on all nodes that answered. Each burn alert is returned as a problem.
func (s *server) describeInstitutions(c api.Config, answers []memberAnswer[NodeStatus]) ([]status.Object, []status.Problem) {
	sums := map[burn.Key]decision.Counts{}
	for _, a := range answers {
		if a.err == nil {
			addCounts(sums, a.reply.Burn.Rows)
		}
	}
	var objects []status.Object
	var problems []status.Problem
	for _, i := range c.Register.Institutions {
		o := status.Object{Kind: status.KindInstitution, Name: i.Name, Desired: "no rules", Observed: "no objectives", Node: s.Node}
		if rules, ok := c.Rules.ForInstitution(i.Name); ok {
			o.Desired = fmt.Sprintf("share %g, %g requests/s, %d objectives", rules.Share, rules.Rate.RequestsPerSecond, len(rules.Objectives))
			o.Observed, problems = s.describeBurn(rules, sums, problems)
		}
		objects = append(objects, o)
	}
	return objects, problems
}

// describeBurn returns a text with the good requests of the last hour per objective, and appends a problem for each
// burn alert.
func (s *server) describeBurn(rules api.InstitutionRules, sums map[burn.Key]decision.Counts, problems []status.Problem) (string, []status.Problem) {
	var parts []string
	for _, o := range rules.Objectives {
		c := sums[burn.Key{Institution: rules.Institution, Objective: o.Name}]
		hour := c[decision.Window1h]
		parts = append(parts, fmt.Sprintf("%s %d of %d good in 1h", o.Name, hour.Good, hour.Total()))
		for _, alert := range alertNames(c, o) {
			parts = append(parts, alert+" alert")
			problems = append(problems, status.Problem{
				Kind: status.KindInstitution, Name: rules.Institution,
				Cause:    fmt.Sprintf("objective %s: %s burn alert, target %g", o.Name, alert, o.Target),
				System:   "gives online work the slots of batch items, by the institution's online_tail_weight",
				Operator: "see trefoilctl report burn, and the problems of the institution's models and upstreams",
				Nodes:    []string{s.Node},
			})
		}
	}
	if len(parts) == 0 {
		return "no objectives", problems
	}
	return strings.Join(parts, ", "), problems
}

// alertNames returns "fast" and "slow" for the burn alerts that are active.
func alertNames(c decision.Counts, o api.Objective) []string {
	var names []string
	a := decision.EvaluateAlerts(c, o.Target)
	if a.Fast {
		names = append(names, "fast")
	}
	if a.Slow {
		names = append(names, "slow")
	}
	return names
}

// problemStartTimes holds when this node first reported each problem that has no start time of its own.
type problemStartTimes struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// fillSince sets the missing start times of problems and drops those of problems that are no longer reported.
func (f *problemStartTimes) fillSince(problems []status.Problem, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]time.Time{}
	for i := range problems {
		p := &problems[i]
		if !p.Since.IsZero() {
			continue
		}
		key := string(p.Kind) + "/" + p.Name + "/" + p.Cause
		p.Since = now.UTC()
		if t, ok := f.since[key]; ok {
			p.Since = t
		}
		next[key] = p.Since
	}
	f.since = next
}
