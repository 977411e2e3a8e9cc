// Package outlier finds upstreams that serve much worse than the others of their service, from the runs that they are given
// anyway. An upstream's own health answers and load reports are no evidence: a replica can be good at both and still be slow
// or fail.
package outlier

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which evidence loses half of its weight. Disruptions last some seconds, and an upstream that
	// gets no work must be tried again soon after.
	halfLife = 1500 * time.Millisecond
	// priorGaps, priorFirsts and priorRuns are the usual results that each upstream is credited with, so that single ones
	// decide nothing and an upstream without recent work counts as usual. A stream has two dozen events.
	priorGaps, priorFirsts, priorRuns = 8, 8, 3
	// slowRatio times the usual time is still usual: replicas of one service differ by about a third, and engines slow down by
	// as much when they read prompts.
	slowRatio = 2
	// outlierPart is the part of a service's upstreams that may have a lowered weight. The rest must bear their work; on a
	// grown site a third was passed over in a burst, the others filled up, and more of them looked slow.
	outlierPart = 0.3
	// slowPower and brokenPower make the weight fall faster than the speed and the part of whole answers: a late or a broken
	// answer is worth little to its caller.
	slowPower, brokenPower = 2, 6
	// leastWeight bounds how far evidence goes.
	leastWeight = 0.01
	// maxGap bounds one measured time, so that a node which stood still does not accuse its upstreams for long.
	maxGap = time.Second
	// forgotten is the amount of evidence that is dropped.
	forgotten = 0.01
)

// Evidence counts what runs on an upstream showed.
type Evidence struct {
	// Gaps is the number of events after the first of a run, GapTime the time that was waited for them.
	Gaps    int
	GapTime time.Duration
	// Firsts is the number of first events that came without a wait for a slot, FirstTime the time until they came. A
	// whole answer counts as a first event.
	Firsts    int
	FirstTime time.Duration
	// Runs is the number of ended runs, Broken how many of them failed, broke off or fell silent after an event. Silence before
	// the first event may be a queue and is no evidence.
	Runs, Broken int
}

// Gap counts n events for which a node waited d.
func (e *Evidence) Gap(n int, d time.Duration) {
	e.Gaps += n
	e.GapTime += min(d, maxGap)
}

// First counts a first event after d.
func (e *Evidence) First(d time.Duration) {
	e.Firsts++
	e.FirstTime += min(d, maxGap)
}

// Add adds the counts of o.
func (e *Evidence) Add(o Evidence) {
	e.Gaps += o.Gaps
	e.GapTime += o.GapTime
	e.Firsts += o.Firsts
	e.FirstTime += o.FirstTime
	e.Runs += o.Runs
	e.Broken += o.Broken
}

// mean is a sum of times and their number, both fading.
type mean struct{ n, seconds float64 }

func (m *mean) fade(by float64) {
	m.n *= by
	m.seconds *= by
}

func (m *mean) add(n int, d time.Duration) {
	m.n += float64(n)
	m.seconds += d.Seconds()
}

type record struct {
	gaps, firsts mean
	runs, broken float64
	at           time.Time
}

func (r *record) fade(now time.Time) {
	by := math.Exp2(-float64(now.Sub(r.at)) / float64(halfLife))
	r.gaps.fade(by)
	r.firsts.fade(by)
	r.runs *= by
	r.broken *= by
	r.at = now
}

// Tracker keeps the evidence on upstreams. It is not safe for concurrent use.
type Tracker struct{ records map[string]*record }

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{records: map[string]*record{}} }

// Add enters evidence on an upstream.
func (t *Tracker) Add(upstream string, e Evidence, now time.Time) {
	r := t.records[upstream]
	if r == nil {
		r = &record{at: now}
		t.records[upstream] = r
	}
	r.fade(now)
	r.gaps.add(e.Gaps, e.GapTime)
	r.firsts.add(e.Firsts, e.FirstTime)
	r.runs += float64(e.Runs)
	r.broken += float64(e.Broken)
}

// Forget drops the evidence on an upstream, which has started anew.
func (t *Tracker) Forget(upstream string) { delete(t.records, upstream) }

// Weights returns, for the upstreams of one service, the part of its usual work that each should get, if it is below one.
// Each is compared with the median, so that what all of them suffer from lowers no weight, and most of them keep theirs.
func (t *Tracker) Weights(upstreams []string, now time.Time) map[string]float64 {
	var gaps, firsts, broken []float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			broken = append(broken, 0)
			continue
		}
		r.fade(now)
		if r.gaps.n+r.firsts.n+r.runs < forgotten {
			t.Forget(id)
			broken = append(broken, 0)
			continue
		}
		if r.gaps.n >= 1 {
			gaps = append(gaps, r.gaps.seconds/r.gaps.n)
		}
		if r.firsts.n >= 1 {
			firsts = append(firsts, r.firsts.seconds/r.firsts.n)
		}
		broken = append(broken, r.brokenPart())
	}
	usualGap, usualFirst, usualBroken := lowerMedian(gaps), lowerMedian(firsts), lowerMedian(broken)
	var weights map[string]float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			continue
		}
		// The time to the first event depends on queues that nobody sees, so it counts only where there are no further events.
		slow := r.gaps.ratio(usualGap, priorGaps)
		if usualGap == 0 {
			slow = r.firsts.ratio(usualFirst, priorFirsts)
		}
		w := 1.0
		if slow > slowRatio {
			w = math.Pow(1/slow, slowPower)
		}
		if part := r.brokenPart(); part > usualBroken && usualBroken < 1 {
			w *= math.Pow((1-part)/(1-usualBroken), brokenPower)
		}
		if w < 1 {
			if weights == nil {
				weights = map[string]float64{}
			}
			weights[id] = max(leastWeight, w)
		}
	}
	return worst(weights, int(outlierPart*float64(len(upstreams))))
}

// worst keeps the lowest n weights.
func worst(weights map[string]float64, n int) map[string]float64 {
	if len(weights) <= n {
		return weights
	}
	ids := slices.SortedFunc(maps.Keys(weights), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	for _, id := range ids[n:] {
		delete(weights, id)
	}
	return weights
}

func (r *record) brokenPart() float64 { return r.broken / (r.runs + priorRuns) }

// ratio returns how many times the usual time the mean is.
func (m mean) ratio(usual float64, prior float64) float64 {
	if usual <= 0 {
		return 1
	}
	return (m.seconds/usual + prior) / (m.n + prior)
}

// lowerMedian returns the median, the lower one of two, or 0 without values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
