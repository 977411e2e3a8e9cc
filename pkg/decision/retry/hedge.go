package retry

import (
	"slices"
	"time"
)

const (
	// HedgeShare is the number of hedges allowed per recent success. Hedges are sent at the 95th percentile, which 5 %
	// of the lookups exceed.
	HedgeShare = 0.05
	// HedgeReserve is the number of hedges allowed per Window in addition, even without any success.
	HedgeReserve = 1
	// minSamples is the number of durations that are needed before lookups are hedged.
	minSamples = 20
	// maxSamples is the number of recent durations from which the delay is computed.
	maxSamples = 200
	// hedgeQuantile is the fraction of lookups that end before a hedge would be sent.
	hedgeQuantile = 0.95
	// recomputeEvery is the number of new durations after which the delay is recomputed.
	recomputeEvery = 20
	minHedgeDelay  = 2 * time.Millisecond
	// MaxHedgeDelay is the longest delay of a hedge. Services with a longer delay have no hedged lookups.
	MaxHedgeDelay = 500 * time.Millisecond
)

// LookupDurations computes, from the recent lookups of one service, the time after which a slow lookup is hedged: sent
// a second time. It is not safe for concurrent use.
type LookupDurations struct {
	recent [maxSamples]time.Duration
	count  int
	delay  time.Duration
}

// Add records the duration of a successful lookup.
func (d *LookupDurations) Add(took time.Duration) {
	d.recent[d.count%maxSamples] = took
	d.count++
	if d.count < minSamples || d.count%recomputeEvery != 0 {
		return
	}
	sorted := slices.Clone(d.recent[:min(d.count, maxSamples)])
	slices.Sort(sorted)
	d.delay = max(sorted[int(hedgeQuantile*float64(len(sorted)-1))], minHedgeDelay)
}

// HedgeDelay returns the time after which a lookup is sent a second time; false when too few durations are known or
// the delay is above MaxHedgeDelay.
func (d *LookupDurations) HedgeDelay() (time.Duration, bool) {
	return d.delay, d.delay > 0 && d.delay <= MaxHedgeDelay
}
