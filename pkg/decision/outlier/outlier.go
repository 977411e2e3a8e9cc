// Package outlier detects upstreams that serve requests much worse than the other upstreams of their service, from the
// results of regular requests. Health answers and load reports of an upstream are not used as evidence: both can be good
// while the upstream is slow or fails requests.
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
	// gets no work must be tried again soon afterwards.
	halfLife = 1500 * time.Millisecond
	// priorGaps, priorFirsts and priorRuns are the numbers of usual results that are assumed for each upstream in addition
	// to the observed ones. With them a single result decides nothing, and an upstream without recent work counts as usual.
	// A stream has about 24 events.
	priorGaps, priorFirsts, priorRuns = 8, 8, 3
	// maxUsualSlowdown is the ratio to the usual time up to which an upstream counts as usual. Replicas of one service
	// differ by about a third, and engines slow down by as much during prefill.
	maxUsualSlowdown = 2
	// maxOutlierShare is the share of a service's upstreams that may have a lowered weight. The others take over their
	// work; when a third was avoided during a burst on a larger site, the others filled up and more of them looked slow.
	maxOutlierShare = 0.3
	// slowExponent and brokenExponent make the weight fall faster than the speed and the share of complete answers, since
	// a late or incomplete answer is worth little to its caller.
	slowExponent, brokenExponent = 2, 6
	// minWeight is the lowest weight that evidence can lead to.
	minWeight = 0.01
	// maxGap limits each measured time. Without it, a node that was paused would count the pause as slowness of its
	// upstreams for a long time.
	maxGap = time.Second
	// minEvidence is the decayed number of results below which the evidence on an upstream is dropped.
	minEvidence = 0.01
)

// Evidence sums up the results of runs on an upstream.
type Evidence struct {
	// Gaps is the number of events after the first one of a run, GapTime the total time waited for them.
	Gaps    int
	GapTime time.Duration
	// Firsts is the number of first events of runs that did not wait for a slot, FirstTime the total time until they
	// came. An answer that is not streamed counts as a first event.
	Firsts    int
	FirstTime time.Duration
	// Runs is the number of ended runs, Broken the number of those that failed, broke off or stalled after an event. A
	// stall before the first event may be due to a queue and is no evidence.
	Runs, Broken int
	// Slowness is the slowness that the upstream last reported of itself, as a multiple of the usual time, and SlownessAge the time
	// since; 0 if it reported none.
	Slowness    float64
	SlownessAge time.Duration
}

// AddGap adds n events after the first one, for which a node waited d in total.
func (e *Evidence) AddGap(n int, d time.Duration) {
	e.Gaps += n
	e.GapTime += min(d, maxGap)
}

// AddFirst adds a first event that came after d.
func (e *Evidence) AddFirst(d time.Duration) {
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
	if o.Slowness > 0 {
		e.Slowness, e.SlownessAge = o.Slowness, o.SlownessAge
	}
}

// decayingMean is a sum of times and their number. Both decay, so that recent times weigh more in the mean.
type decayingMean struct{ n, seconds float64 }

func (m *decayingMean) decay(factor float64) {
	m.n *= factor
	m.seconds *= factor
}

func (m *decayingMean) add(n int, d time.Duration) {
	m.n += float64(n)
	m.seconds += d.Seconds()
}

// record is the decayed evidence on one upstream.
type record struct {
	gaps, firsts decayingMean
	runs, broken float64
	decayedAt    time.Time
}

// decay halves the evidence for each halfLife since the last call.
func (r *record) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(halfLife))
	r.gaps.decay(factor)
	r.firsts.decay(factor)
	r.runs *= factor
	r.broken *= factor
	r.decayedAt = now
}

// Tracker keeps the evidence on upstreams. It is not safe for concurrent use.
type Tracker struct{ records map[string]*record }

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{records: map[string]*record{}} }

// Add adds evidence on an upstream.
func (t *Tracker) Add(upstream string, e Evidence, now time.Time) {
	r := t.records[upstream]
	if r == nil {
		r = &record{decayedAt: now}
		t.records[upstream] = r
	}
	r.decay(now)
	r.gaps.add(e.Gaps, e.GapTime)
	r.firsts.add(e.Firsts, e.FirstTime)
	r.runs += float64(e.Runs)
	r.broken += float64(e.Broken)
}

// Forget drops the evidence on an upstream, after its restart.
func (t *Tracker) Forget(upstream string) { delete(t.records, upstream) }

// Weights returns the share of its usual work that each upstream of a service should get. Upstreams with a share of 1 are
// left out. Each upstream is compared with the median, so that a slowdown of all of them lowers no weight, and at most
// maxOutlierShare of them get a lowered weight.
func (t *Tracker) Weights(upstreams []string, now time.Time) map[string]float64 {
	var gaps, firsts, broken []float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			broken = append(broken, 0)
			continue
		}
		r.decay(now)
		if r.gaps.n+r.firsts.n+r.runs < minEvidence {
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
		broken = append(broken, r.brokenShare())
	}
	usualGap, usualFirst, usualBroken := lowerMedian(gaps), lowerMedian(firsts), lowerMedian(broken)
	var weights map[string]float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			continue
		}
		// The time to the first event depends on queues inside the upstream, so it counts only for services without
		// further events.
		slowdown := r.gaps.slowdown(usualGap, priorGaps)
		if usualGap == 0 {
			slowdown = r.firsts.slowdown(usualFirst, priorFirsts)
		}
		weight := 1.0
		if slowdown > maxUsualSlowdown {
			weight = math.Pow(1/slowdown, slowExponent)
		}
		if brokenShare := r.brokenShare(); brokenShare > usualBroken && usualBroken < 1 {
			weight *= math.Pow((1-brokenShare)/(1-usualBroken), brokenExponent)
		}
		if weight < 1 {
			if weights == nil {
				weights = map[string]float64{}
			}
			weights[id] = max(minWeight, weight)
		}
	}
	return lowestWeights(weights, int(maxOutlierShare*float64(len(upstreams))))
}

// lowestWeights removes all but the n lowest weights.
func lowestWeights(weights map[string]float64, n int) map[string]float64 {
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

// brokenShare returns the share of runs that broke, with priorRuns good runs added.
func (r *record) brokenShare() float64 { return r.broken / (r.runs + priorRuns) }

// slowdown returns the mean as a multiple of the usual time, with prior usual times added.
func (m decayingMean) slowdown(usual float64, prior float64) float64 {
	if usual <= 0 {
		return 1
	}
	return (m.seconds/usual + prior) / (m.n + prior)
}

// lowerMedian returns the median of the values, the lower one of two candidates, or 0 without values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
