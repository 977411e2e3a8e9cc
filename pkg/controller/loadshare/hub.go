package loadshare

import (
	"maps"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
)

const (
	// reviewEvery is how often the hub drops what is too old and looks for silent nodes and outliers.
	reviewEvery = 100 * time.Millisecond
	// grantKept is how long a grant counts against free slots when its node does not report again.
	grantKept = 500 * time.Millisecond
	// forgetAfter is when a node that no longer reports is forgotten.
	forgetAfter = time.Minute
)

// hub keeps the reports of all nodes and their sums. The sums change with each report, so that an answer costs no more
// with many nodes.
type hub struct {
	o  *Options
	mu sync.Mutex
	// nodes is what each node reported and was given.
	nodes map[string]*reporter
	// totals, given and wants are the sums over all nodes.
	totals map[string]dispatch.Load
	given  map[string]int
	wants  map[string]dispatch.Want
	// since is when the first report came after a pause, last the newest one.
	since, last time.Time
	reviewed    time.Time
	silent      []string
	draining    []string
	outliers    map[string]float64
	// callAgain is when this node next makes itself known to one that does not report.
	callAgain map[string]time.Time
	// answered is when a node that does not report answered a call of this one.
	answered map[string]time.Time
	// removeAgain is when the entry of a lost node may be removed.
	removeAgain map[string]time.Time
}

// reporter is one node at the hub.
type reporter struct {
	report Report
	at     time.Time
	// counted is set while the report is part of the totals and wants.
	counted bool
	granted map[string]int
	// warm is when the node last had a run on each upstream.
	warm map[string]time.Time
}

func newHub(o *Options) hub {
	return hub{
		o: o, nodes: map[string]*reporter{}, totals: map[string]dispatch.Load{}, given: map[string]int{}, wants: map[string]dispatch.Want{},
		callAgain: map[string]time.Time{}, removeAgain: map[string]time.Time{}, answered: map[string]time.Time{},
	}
}

// take enters a report and answers it.
func (h *hub) take(r Report, reply *Totals, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.last) > hubIdle {
		h.since = now
	}
	h.last = now
	n := h.nodes[r.Node]
	if n == nil {
		n = &reporter{warm: map[string]time.Time{}}
		h.nodes[r.Node] = n
	}
	h.uncount(n)
	h.ungrant(n)
	n.report, n.at = r, now
	delete(h.callAgain, r.Node)
	h.count(n)
	h.o.Learn(r.Evidence)
	for id := range r.Loads {
		n.warm[id] = now
	}
	if now.Sub(h.reviewed) >= reviewEvery {
		h.review(now)
	}
	reply.Loads = maps.Clone(h.totals)
	reply.Silent, reply.Draining = h.silent, h.draining
	reply.Outliers = h.outliers
	reply.Grant = h.grant(n, now)
	reply.Revisions = h.o.Revisions()
}

func (h *hub) count(n *reporter) {
	n.counted = true
	for id, l := range n.report.Loads {
		h.totals[id] = h.totals[id].Plus(l)
	}
	for service, w := range n.report.Wants {
		sum := h.wants[service]
		h.wants[service] = dispatch.Want{Items: sum.Items + w.Items, Urgent: sum.Urgent + w.Urgent, Rate: sum.Rate + w.Rate}
	}
}

func (h *hub) uncount(n *reporter) {
	if !n.counted {
		return
	}
	n.counted = false
	for id, l := range n.report.Loads {
		left := h.totals[id].Minus(l)
		if left == (dispatch.Load{}) {
			delete(h.totals, id)
		} else {
			h.totals[id] = left
		}
	}
	for service, w := range n.report.Wants {
		sum := h.wants[service]
		h.wants[service] = dispatch.Want{Items: sum.Items - w.Items, Urgent: sum.Urgent - w.Urgent, Rate: max(0, sum.Rate-w.Rate)}
	}
}

func (h *hub) ungrant(n *reporter) {
	for id, k := range n.granted {
		if h.given[id] -= k; h.given[id] <= 0 {
			delete(h.given, id)
		}
	}
	n.granted = nil
}

// grant answers what a node wants.
func (h *hub) grant(n *reporter, now time.Time) dispatch.Grant {
	all := dispatch.Grant{Online: map[string]int{}, Batch: map[string]int{}, Queue: map[string]int{}}
	warm := func(id string) bool { return now.Sub(n.warm[id]) < dispatch.WarmFor }
	for service, want := range n.report.Wants {
		g := h.o.Grants(service, want, h.wants[service], h.totals, h.given, warm)
		maps.Copy(all.Online, g.Online)
		maps.Copy(all.Batch, g.Batch)
		maps.Copy(all.Queue, g.Queue)
	}
	n.granted = all.Slots()
	for id, k := range n.granted {
		h.given[id] += k
	}
	return all
}

// review drops what is too old, and lists silent and draining nodes.
func (h *hub) review(now time.Time) {
	h.reviewed = now
	h.outliers = h.o.Outliers()
	h.draining = nil
	recent := 0
	for name, n := range h.nodes {
		age := now.Sub(n.at)
		if age > reportKept {
			h.uncount(n)
		}
		if age > grantKept {
			h.ungrant(n)
		}
		if age <= silentAfter {
			recent++
			if n.report.Draining {
				h.draining = append(h.draining, name)
			}
		}
		if age > forgetAfter {
			delete(h.nodes, name)
		}
	}
	h.silent = h.missing(recent, now)
}

// missing lists the registered nodes that do not report. A hub that hears from few nodes is probably cut off itself.
func (h *hub) missing(recent int, now time.Time) (silent []string) {
	if now.Sub(h.since) < hubWarmUp {
		return nil
	}
	known := h.o.Fleet.Known()
	if float64(recent) < reachable*float64(len(known)) {
		return nil
	}
	for _, m := range known {
		n := h.nodes[m.Name]
		if (n == nil || now.Sub(n.at) > silentAfter) && now.Sub(h.answered[m.Name]) > answeredKept && now.UnixNano()-m.Incarnation > int64(hubWarmUp) {
			silent = append(silent, m.Name)
		}
	}
	return silent
}
