package operator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/burn"
	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/explain"
)

// Explanation is the answer to an explain call.
type Explanation struct {
	Entries []explain.Entry `json:"entries"`
	// Unanswered are the nodes that did not answer, whose entries are missing.
	Unanswered []UnansweredNode `json:"unanswered"`
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	q := explain.Query{Request: v.Get("request"), Job: v.Get("job"), Item: v.Get("item"), Upstream: v.Get("upstream"),
		Member: v.Get("member"), Configuration: v.Get("configuration")}
	if q == (explain.Query{}) {
		writeError(w, malformed("one of request, job, item, upstream, member or configuration is needed"))
		return
	}
	answers := askMembers(r.Context(), s, s.explainNodes(q), "Explain.Get", q, func() ExplainReply {
		b, _ := json.Marshal(s.local.Explain(q))
		return ExplainReply{b}
	})
	out := Explanation{Entries: []explain.Entry{}}
	for i, a := range answers {
		if a.err != nil {
			continue
		}
		var entries []explain.Entry
		if answers[i].err = json.Unmarshal(a.reply.JSON, &entries); answers[i].err == nil {
			out.Entries = append(out.Entries, entries...)
		}
	}
	out.Unanswered = unansweredOf(answers)
	sort.SliceStable(out.Entries, func(i, j int) bool { return out.Entries[i].Time.Before(out.Entries[j].Time) })
	writeJSON(w, http.StatusOK, out)
}

// explainNodes returns the nodes to ask about q. With more than fanOutLimit nodes, only the node that received a
// request is asked about it, as long as that node is live; its name is part of the request ID.
func (s *server) explainNodes(q explain.Query) []string {
	nodes := s.liveNodes()
	if n := nodeOfRequest(q.Request); len(nodes) > fanOutLimit && slices.Contains(nodes, n) {
		return []string{n}
	}
	return nodes
}

// nodeOfRequest returns the node name in a request ID of the form NODE-ULID, or "".
func nodeOfRequest(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return ""
}

// BurnReport is the answer to a burn call.
type BurnReport struct {
	Objectives []ObjectiveBurn `json:"objectives"`
	// Nodes says since when each node has counted. A window that starts earlier is only partly covered.
	Nodes      []NodeCountStart `json:"nodes"`
	Unanswered []UnansweredNode `json:"unanswered"`
}

// NodeCountStart is the time since which a node has counted requests.
type NodeCountStart struct {
	Node  string    `json:"node"`
	Since time.Time `json:"since"`
}

// ObjectiveBurn is the use of the error budget of one objective, over all nodes that answered.
type ObjectiveBurn struct {
	Institution string       `json:"institution"`
	Objective   string       `json:"objective"`
	Class       string       `json:"class,omitempty"`
	Metric      api.Metric   `json:"metric"`
	Latency     api.Duration `json:"latency"`
	Target      float64      `json:"target"`
	// ErrorBudget is the fraction of requests that may miss the objective.
	ErrorBudget float64               `json:"error_budget"`
	Windows     map[string]WindowBurn `json:"windows"`
	Alerts      decision.Alerts       `json:"alerts"`
}

// WindowBurn is the use of the error budget in one window.
type WindowBurn struct {
	decision.Count
	// BadFraction is the fraction of requests that missed the objective.
	BadFraction float64 `json:"bad_part"`
	// BurnRate is BadFraction / ErrorBudget. Above 1 the budget is used up before its period ends.
	BurnRate float64 `json:"burn_rate"`
}

func (s *server) burn(w http.ResponseWriter, r *http.Request) {
	args := burn.GetArgs{Institution: r.URL.Query().Get("institution")}
	answers := askMembers(r.Context(), s, s.liveNodes(), "Burn.Get", args, func() burn.GetReply {
		if s.Burn == nil {
			return burn.GetReply{}
		}
		return s.Burn.Counts(args)
	})
	report := BurnReport{Objectives: []ObjectiveBurn{}, Nodes: []NodeCountStart{}, Unanswered: unansweredOf(answers)}
	sums := map[burn.Key]decision.Counts{}
	for _, a := range answers {
		if a.err == nil {
			report.Nodes = append(report.Nodes, NodeCountStart{a.node, a.reply.Since})
			addCounts(sums, a.reply.Rows)
		}
	}
	for _, i := range s.Board.Config.Value().Rules.Institutions {
		if args.Institution != "" && args.Institution != i.Institution {
			continue
		}
		for _, o := range i.Objectives {
			report.Objectives = append(report.Objectives, objectiveBurn(i.Institution, o, sums[burn.Key{Institution: i.Institution, Objective: o.Name}]))
		}
	}
	writeJSON(w, http.StatusOK, report)
}

// addCounts adds the counts of one node to sums.
func addCounts(sums map[burn.Key]decision.Counts, rows []burn.Row) {
	for _, row := range rows {
		sums[row.Key] = sums[row.Key].Add(row.Counts)
	}
}

func objectiveBurn(institution string, o api.Objective, c decision.Counts) ObjectiveBurn {
	b := ObjectiveBurn{
		Institution: institution, Objective: o.Name, Class: o.Class, Metric: o.Metric, Latency: o.Latency,
		Target: o.Target, ErrorBudget: 1 - o.Target, Windows: map[string]WindowBurn{}, Alerts: decision.EvaluateAlerts(c, o.Target),
	}
	for _, win := range decision.Windows {
		x := WindowBurn{Count: c[win], BurnRate: decision.Rate(c[win], o.Target)}
		if t := c[win].Total(); t > 0 {
			x.BadFraction = float64(c[win].Bad) / float64(t)
		}
		b.Windows[win.String()] = x
	}
	return b
}
