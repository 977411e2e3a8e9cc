package retry

import (
	"slices"
	"time"
)

const (
	// HedgeShare is the part of recent successes that may be hedged. The 95th percentile is exceeded by 5 % of
	// the lookups.
	HedgeShare = 0.05
	// HedgeReserve is the number of hedges per window that are allowed without any success.
	HedgeReserve = 1
	// minSamples is the number of durations below which no lookup is hedged.
	minSamples = 20
	// samples is the number of recent durations kept.
	samples = 200
	// hedgeQuantile is the part of lookups that end before a hedge is sent.
	hedgeQuantile = 0.95
	// recompute is the number of new durations after which the delay is computed again.
	recompute = 20
	minHedge  = 2 * time.Millisecond
	// MaxHedge bounds what counts as a short lookup.
	MaxHedge = 500 * time.Millisecond
)

// Durations learns after what time a lookup of one service is worth a second one. It is not safe for concurrent
// use.
type Durations struct {
	recent [samples]time.Duration
	count  int
	delay  time.Duration
}

// Add records the duration of a successful lookup.
func (d *Durations) Add(took time.Duration) {
	d.recent[d.count%samples] = took
	d.count++
	if d.count < minSamples || d.count%recompute != 0 {
		return
	}
	sorted := slices.Clone(d.recent[:min(d.count, samples)])
	slices.Sort(sorted)
	d.delay = max(sorted[int(hedgeQuantile*float64(len(sorted)-1))], minHedge)
}

// HedgeDelay returns the time after which a second lookup is sent; false when too little is known or the lookups
// of the service are not short.
func (d *Durations) HedgeDelay() (time.Duration, bool) {
	return d.delay, d.delay > 0 && d.delay <= MaxHedge
}
