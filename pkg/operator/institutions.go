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

// institutions describes the institutions by what their rules owe them and by their burn over all nodes that
// answered. Alerts are problems.
func (s *server) institutions(c api.Config, answers []answer[NodeStatus]) ([]status.Object, []status.Problem) {
	sums := map[burn.Key]decision.Counts{}
	for _, a := range answers {
		if a.err == nil {
			addRows(sums, a.reply.Burn.Rows)
		}
	}
	var objects []status.Object
	var problems []status.Problem
	for _, i := range c.Register.Institutions {
		o := status.Object{Kind: status.KindInstitution, Name: i.Name, Desired: "no rules", Observed: "no objectives", Node: s.Node}
		if rules, ok := c.Rules.ForInstitution(i.Name); ok {
			o.Desired = fmt.Sprintf("share %g, %g requests/s, %d objectives", rules.Share, rules.Rate.RequestsPerSecond, len(rules.Objectives))
			o.Observed, problems = s.observedBurn(rules, sums, problems)
		}
		objects = append(objects, o)
	}
	return objects, problems
}

// observedBurn describes the burn of an institution in words and appends its alerts to problems.
func (s *server) observedBurn(rules api.InstitutionRules, sums map[burn.Key]decision.Counts, problems []status.Problem) (string, []status.Problem) {
	var parts []string
	for _, o := range rules.Objectives {
		c := sums[burn.Key{Institution: rules.Institution, Objective: o.Name}]
		hour := c[decision.Window1h]
		parts = append(parts, fmt.Sprintf("%s %d of %d good in 1h", o.Name, hour.Good, hour.Total()))
		for _, alert := range alertsOf(c, o) {
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

func alertsOf(c decision.Counts, o api.Objective) []string {
	var names []string
	a := decision.Judge(c, o.Target)
	if a.Fast {
		names = append(names, "fast")
	}
	if a.Slow {
		names = append(names, "slow")
	}
	return names
}

// firstSeen keeps since when problems that carry no time of their own have been reported by this node.
type firstSeen struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// fill sets the missing times of problems and forgets problems that are over.
func (f *firstSeen) fill(problems []status.Problem, now time.Time) {
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
