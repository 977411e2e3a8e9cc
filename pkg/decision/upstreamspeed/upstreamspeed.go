// Package upstreamspeed learns how long work takes on each upstream of a service, relative to the others, from the times of regular
// runs and from the momentary slowness that upstreams report. Package outlier judges which upstreams are broken; this package
// measures sound ones that differ.
package upstreamspeed

import (
	"math"
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

const (
	// halfLife is the time in which a measured time loses half of its weight: some hundred events of an upstream at usual load, and
	// short enough to follow a machine that changes for good within half a minute.
	halfLife = 8 * time.Second
	// priorGaps and priorFirsts are the numbers of events with the mean time that are assumed for each upstream beside the measured
	// ones, so that one that is new counts as usual. A stream has about 24 events.
	priorGaps, priorFirsts = 24, 8
	// priorFigures is the number of usual figures that are assumed for each upstream beside the reported ones.
	priorFigures = 2
	// momentLifetime is how long a reported slowness says something; its effect fades over this time.
	momentLifetime = 600 * time.Millisecond
	// minSlowness and maxSlowness bound the results. What is slower than four times the usual is an outlier.
	minSlowness, maxSlowness = 0.25, 4
	// unevenFrom is the deviation from the usual slowness from which it counts. Equal upstreams differ by less, by chance, and are
	// treated alike.
	unevenFrom = 0.15
	// minEvidence is the decayed number of events below which the record of an upstream is dropped.
	minEvidence = 0.01
)

// record is the decayed evidence on one upstream. Sums are of seconds and figures, and n their numbers.
type record struct {
	gapN, gapSum, firstN, firstSum, figureN, figureSum float64
	decayedAt                                          time.Time
	// figure is the last reported slowness, at figureAt.
	figure   float64
	figureAt time.Time
}

func (r *record) decay(now time.Time) {
	f := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(halfLife))
	for _, sum := range []*float64{&r.gapN, &r.gapSum, &r.firstN, &r.firstSum, &r.figureN, &r.figureSum} {
		*sum *= f
	}
	r.decayedAt = now
}

// moment returns the momentary slowness relative to what the upstream usually reports, whether or not its figure contains the usual
// speed of the machine. It fades to 1 with the age of the report.
func (r *record) moment(now time.Time) float64 {
	age := now.Sub(r.figureAt)
	if r.figure <= 0 || age >= momentLifetime {
		return 1
	}
	usual := (r.figureSum + priorFigures) / (r.figureN + priorFigures)
	return 1 + (r.figure/usual-1)*(1-float64(max(0, age))/float64(momentLifetime))
}

// Tracker keeps the evidence on upstreams. It is not safe for concurrent use.
type Tracker struct{ records map[string]*record }

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{records: map[string]*record{}} }

// Add adds evidence on an upstream.
func (t *Tracker) Add(upstream string, e outlier.Evidence, now time.Time) {
	if e.Gaps+e.Firsts == 0 && e.Slowness <= 0 {
		return
	}
	r := t.records[upstream]
	if r == nil {
		r = &record{decayedAt: now}
		t.records[upstream] = r
	}
	r.decay(now)
	r.gapN += float64(e.Gaps)
	r.gapSum += e.GapTime.Seconds()
	r.firstN += float64(e.Firsts)
	r.firstSum += e.FirstTime.Seconds()
	if at := now.Add(-e.SlownessAge); e.Slowness > 0 && at.After(r.figureAt) {
		r.figureN++
		r.figureSum += e.Slowness
		r.figure, r.figureAt = e.Slowness, at
	}
}

// Forget drops the evidence on an upstream, after its restart.
func (t *Tracker) Forget(upstream string) { delete(t.records, upstream) }

// Slowness returns the time of work on each upstream of a service as a multiple of the mean of all of them. Those that are as fast as
// usual, or have no history, are left out.
func (t *Tracker) Slowness(upstreams []string, now time.Time) map[string]float64 {
	if len(t.records) == 0 {
		return nil
	}
	var gapSum, gapMeans, firstSum, firstMeans float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			continue
		}
		if r.decay(now); r.gapN+r.firstN+r.figureN < minEvidence {
			t.Forget(id)
			continue
		}
		if r.gapN >= 1 {
			gapMeans++
			gapSum += r.gapSum / r.gapN
		}
		if r.firstN >= 1 {
			firstMeans++
			firstSum += r.firstSum / r.firstN
		}
	}
	var all map[string]float64
	for _, id := range upstreams {
		r := t.records[id]
		if r == nil {
			continue
		}
		// The time to the first event depends on queues inside the upstream, so it counts only for services without further events.
		slowness := 1.0
		switch {
		case gapMeans > 0:
			slowness = relative(r.gapSum, r.gapN, gapSum/gapMeans, priorGaps)
		case firstMeans > 0:
			slowness = relative(r.firstSum, r.firstN, firstSum/firstMeans, priorFirsts)
		}
		slowness *= r.moment(now)
		if math.Abs(slowness-1) < unevenFrom {
			continue
		}
		if all == nil {
			all = map[string]float64{}
		}
		all[id] = min(maxSlowness, max(minSlowness, slowness))
	}
	return all
}

// relative returns a mean as a multiple of the usual value, with prior usual values added.
func relative(sum, n, usual, prior float64) float64 {
	if usual <= 0 {
		return 1
	}
	return (sum/usual + prior) / (n + prior)
}
