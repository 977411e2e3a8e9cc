package loadshare

import (
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/lostnodes"
	"trefoilplank.example/pkg/decision/quota"
)

const (
	// reviewInterval is how often the hub drops expired reports and grants and looks for unresponsive nodes and outliers.
	reviewInterval = 100 * time.Millisecond
	// grantLifetime is how long a grant counts against free slots when its node does not report again.
	grantLifetime = 500 * time.Millisecond
	// forgetAfter is the time without a report after which the hub drops the state of a node.
	forgetAfter = time.Minute
)

// hub keeps the reports of all nodes and their sums. The sums are updated with each report, so that the cost of an answer
// does not grow with the number of nodes.
type hub struct {
	options *Options
	mu      sync.Mutex
	// nodes holds the last report and grant of each node, by name.
	nodes map[string]*nodeState
	// totals, grantedSlots and wants are the loads, granted slots and wanted slots, summed over all nodes.
	totals       map[string]dispatch.Load
	grantedSlots map[string]int
	wants        map[string]dispatch.Want
	// activeSince is when the first report arrived after hubIdle without any; lastReportAt is when the last one arrived.
	activeSince, lastReportAt time.Time
	reviewedAt                time.Time
	unresponsive              []string
	draining                  []string
	// minority is set while at most half of the registered nodes report here: the others may have another hub.
	minority bool
	// cutOff are the nodes that report to reach no upstream of some service themselves, sorted. The revision changes with the
	// list, and is 0 until one does.
	cutOff         []string
	cutOffRevision int64
	// successor is the node that would be the hub if this one were lost.
	successor string
	outliers  map[string]float64
	// slowness is the time of work on the uneven upstreams.
	slowness map[string]float64
	// index numbers the upstreams in the totals.
	index upstreamIndex
	// packed are the totals at packedAt for a node that lacks the index.
	packed   *IndexedLoads
	packedAt time.Time
	// waiting holds what waits of the jobs of all nodes.
	waiting *quota.Ledger
	// nextIntroduction is when this node next introduces itself to a node that does not report.
	nextIntroduction map[string]time.Time
	// answeredAt is when a node that does not report last answered an introduction by this one.
	answeredAt map[string]time.Time
	// nextRemoval is when the next attempt to remove the entry of a lost node may be made.
	nextRemoval map[string]time.Time
	// challenges holds the nodes that are challenged while at most half of all report here, and toChallenge those whose entries must be
	// marked now.
	challenges  lostnodes.Challenges
	toChallenge []string
	// entriesOld is set while some nodes are not heard, and the copy of the entries is so old that these may have challenged others.
	entriesOld bool
}

// nodeState is what the hub knows of one node.
type nodeState struct {
	report     Report
	receivedAt time.Time
	// counted is set while the report is included in the totals and wants.
	counted bool
	granted map[string]int
	// slownessAt is when the node was last sent the slowness of upstreams.
	slownessAt time.Time
	// warm is when the node last reported a run on each upstream.
	warm map[string]time.Time
}

func newHub(o *Options) hub {
	return hub{
		options: o, nodes: map[string]*nodeState{}, totals: map[string]dispatch.Load{}, grantedSlots: map[string]int{}, wants: map[string]dispatch.Want{},
		nextIntroduction: map[string]time.Time{}, nextRemoval: map[string]time.Time{}, answeredAt: map[string]time.Time{},
		waiting: quota.NewLedger(), index: newUpstreamIndex(o.Fleet.Self().Incarnation), minority: true,
	}
}

// handleReport stores a report and answers it.
func (h *hub) handleReport(r Report, reply *Totals, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sinceReport := now.Sub(h.lastReportAt)
	if sinceReport > hubIdle {
		h.activeSince = now
	}
	h.lastReportAt = now
	n := h.nodes[r.Node]
	if n == nil {
		n = &nodeState{warm: map[string]time.Time{}}
		h.nodes[r.Node] = n
	}
	before := n.report.Loads
	h.removeFromTotals(n)
	h.exchangeAnnounced(r, n.granted, sinceReport, reply)
	h.withdrawGrant(n)
	n.report, n.receivedAt = r, now
	delete(h.nextIntroduction, r.Node)
	h.addToTotals(n)
	h.waiting.Report(r.Node, r.Waiting)
	h.options.AddEvidence(r.Evidence)
	for id := range r.Loads {
		n.warm[id] = now
	}
	if now.Sub(h.reviewedAt) >= reviewInterval {
		h.review(now)
	}
	if r.Indexed {
		reply.IndexedLoads = h.indexedLoads(r, before, now)
		h.addSlowness(n, reply.IndexedLoads, now)
	} else {
		reply.Loads = maps.Clone(h.totals)
	}
	reply.Silent, reply.Draining = h.unresponsive, h.draining
	reply.Unconfirmed = h.minority || h.entriesOld || r.Draining || !h.options.Fleet.MayConfirm(r.Node, r.Incarnation)
	reply.Outliers = h.outliers
	reply.Successor = r.Node == h.successor
	if reply.CutOffRevision = h.cutOffRevision; r.CutOffSeen != h.cutOffRevision {
		reply.CutOff = h.cutOff
	}
	reply.Grant = h.grant(n, now)
	reply.Revisions = h.options.Revisions()
	if h.options.Ages != nil {
		reply.Ages = h.options.Ages()
	}
	if r.StoreReturned {
		h.options.Store.NodeReturned()
	}
	reply.Sweeps, reply.StoreDisrupted = true, h.options.Store.Disrupted()
	if h.options.Retiring != nil {
		reply.Retiring = h.options.Retiring()
	}
	h.exchangeRecords(r, reply)
}

// packedLifetime is how long the hub sends the same totals to several nodes.
const packedLifetime = 5 * time.Millisecond

// indexedLoads returns the totals for a node that has sent a report. They may be packedLifetime old, but always include the
// report, which the node subtracts from them. before are the loads of its report before.
func (h *hub) indexedLoads(r Report, before map[string]dispatch.Load, now time.Time) *IndexedLoads {
	if h.packed == nil || now.Sub(h.packedAt) >= packedLifetime || now.Before(h.packedAt) || !h.index.holds(r.Loads) {
		h.packed, h.packedAt = h.index.pack(h.totals, 0), now
	}
	own := *h.packed
	if own.Counts = slices.Clone(own.Counts); r.Index == own.Revision {
		own.IDs = nil
	}
	for _, changed := range []map[string]dispatch.Load{before, r.Loads} {
		for id := range changed {
			h.index.set(own.Counts, id, h.totals[id])
		}
	}
	return &own
}

func (h *hub) addToTotals(n *nodeState) {
	n.counted = true
	for id, l := range n.report.Loads {
		h.totals[id] = h.totals[id].Plus(l)
	}
	for service, w := range n.report.Wants {
		h.wants[service] = h.wants[service].Plus(w)
	}
}

func (h *hub) removeFromTotals(n *nodeState) {
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
		h.wants[service] = h.wants[service].Minus(w)
	}
}

func (h *hub) withdrawGrant(n *nodeState) {
	for id, k := range n.granted {
		if h.grantedSlots[id] -= k; h.grantedSlots[id] <= 0 {
			delete(h.grantedSlots, id)
		}
	}
	n.granted = nil
}

// grant returns the slots that a node gets for what it wants.
func (h *hub) grant(n *nodeState, now time.Time) dispatch.Grant {
	all := dispatch.Grant{Online: map[string]int{}, Batch: map[string]int{}, Queue: map[string]int{}}
	warm := func(id string) bool { return now.Sub(n.warm[id]) < dispatch.WarmConnectionTime }
	for service, want := range n.report.Wants {
		g := h.options.Grants(service, want, h.wants[service], h.totals, h.grantedSlots, warm)
		maps.Copy(all.Online, g.Online)
		maps.Copy(all.Batch, g.Batch)
		maps.Copy(all.Queue, g.Queue)
		all.Leaving = dispatch.AddLeaving(all.Leaving, g.Leaving)
	}
	n.granted = all.Slots()
	for id, count := range n.granted {
		h.grantedSlots[id] += count
	}
	return all
}

// review drops expired reports, grants and nodes, and updates the outliers and the lists of unresponsive and draining
// nodes.
func (h *hub) review(now time.Time) {
	h.reviewedAt = now
	h.outliers = h.options.Outliers()
	h.updateSlowness()
	h.successor = ""
	if others := otherHubs(h.options.Fleet); len(others) > 0 {
		h.successor = others[0]
	}
	h.draining = nil
	var cutOff []string
	recent := 0
	for name, n := range h.nodes {
		age := now.Sub(n.receivedAt)
		if age > reportLifetime {
			h.removeFromTotals(n)
		}
		if age > grantLifetime {
			h.withdrawGrant(n)
		}
		if age <= unresponsiveAfter {
			recent++
			if n.report.Draining {
				h.draining = append(h.draining, name)
			}
			if n.report.CutOff {
				cutOff = append(cutOff, name)
			}
		}
		if age > forgetAfter {
			delete(h.nodes, name)
			h.waiting.Report(name, nil)
		}
	}
	if slices.Sort(cutOff); !slices.Equal(cutOff, h.cutOff) {
		h.options.Log.Notice("nodes that reach no upstreams of a service changed", "members", cutOff)
		h.cutOff, h.cutOffRevision = cutOff, now.UnixNano()
	}
	h.findLostNodes(recent, now)
}

// findLostNodes updates what the hub knows of nodes that do not report. recent is the number of nodes that do.
func (h *hub) findLostNodes(recent int, now time.Time) {
	known := h.options.Fleet.Known()
	h.toChallenge, h.unresponsive = nil, nil
	lost := 0
	switch {
	case now.Sub(h.activeSince) < hubWarmUp:
	case float64(recent) >= minReportingPart*float64(len(known)):
		h.challenges = lostnodes.Challenges{}
		h.unresponsive = h.silentFor(unresponsiveAfter, known, now)
	default:
		// The hub itself may be cut off, so that only nodes which do not undo a change of their entries are lost.
		unheard := h.options.Fleet.Unheard(h.silentFor(lostnodes.UnheardTime, known, now))
		h.toChallenge, h.unresponsive = h.challenges.Review(unheard, now.Add(-h.entriesAge()), now)
		lost = len(h.unresponsive)
	}
	h.minority = 2*recent <= len(known)-lost
	h.entriesOld = recent < len(known)-lost && h.entriesAge() > lostnodes.ConfirmAge
}

func (h *hub) entriesAge() time.Duration {
	if h.options.EntriesAge == nil {
		return 0
	}
	return h.options.EntriesAge()
}

// lastHeard returns when a node last reported, or when this one became the hub if it has not since.
func (h *hub) lastHeard(name string) time.Time {
	if n := h.nodes[name]; n != nil {
		return n.receivedAt
	}
	return h.activeSince
}

// silentFor returns the registered nodes that have not reported for the given time.
func (h *hub) silentFor(d time.Duration, known []fleet.Member, now time.Time) (silent []string) {
	for _, m := range known {
		if now.Sub(h.lastHeard(m.Name)) > d && now.Sub(h.answeredAt[m.Name]) > answerLifetime && now.UnixNano()-m.Incarnation > int64(hubWarmUp) {
			silent = append(silent, m.Name)
		}
	}
	return silent
}
