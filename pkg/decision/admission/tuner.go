package admission

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Tuner adapts the concurrency limit of an upstream, and the fraction of it that batch work may use, to the times of
// online runs relative to their objectives. While batch work runs, a slow online tail lowers the batch allowance; it
// lowers the limit only while no batch work runs.
type Tuner struct {
	limit float64
	// allowance is the fraction of the limit that batch work may use.
	allowance float64
	// hasReportedSlots is set once the limit has been initialized to the slots that the upstream reports.
	hasReportedSlots bool
	// ratios are observed times divided by objectives in the current window, misses the number of those above 1.
	ratios []float64
	misses int
	// allowedMisses is the number of misses that the objectives permit in the window.
	allowedMisses float64
	windowStart   time.Time
	// settledAt is when the runs that started before the last change are expected to have ended. Earlier samples are
	// ignored.
	settledAt time.Time
}

// Parameters of the tuner.
const (
	// An observation window ends after windowTime if it has windowSamples, and after windowMax if it has minSamples.
	windowSamples = 16
	windowTime    = 250 * time.Millisecond
	windowMax     = 2 * time.Second
	minSamples    = 4
	// limitDecrease is the factor by which the limit is lowered, limitIncrease the fraction of it by which it is raised. At
	// most one is applied per window, and the increase only if the limit was reached or online work was too little to judge.
	limitDecrease = 0.9
	limitIncrease = 0.05
	// limitIncreaseMaxTail is the tail ratio below which the limit may be raised.
	limitIncreaseMaxTail = 0.9
	// allowanceDecrease halves the allowance, and so the harm to online runs, within two windows; allowanceIncrease
	// restores it within a few seconds.
	allowanceDecrease     = 0.7
	allowanceIncrease     = 0.05
	idleAllowanceIncrease = 0.2
	// maxSettleTime bounds the time during which samples are ignored after a change.
	maxSettleTime = 2 * time.Second
	// defaultMaxSlots is the highest limit of an upstream that does not report its slots.
	defaultMaxSlots = 64
)

// TunerInput holds the current state of the upstream and its batch work.
type TunerInput struct {
	// Slots is the number of slots that the upstream reports, 0 if unknown.
	Slots int
	// PeakSlots is the highest number of slots in use; UsedBatchSlots is the number in use by batch work now.
	PeakSlots, UsedBatchSlots int
	// OnlineTailWeight is the online_tail_weight and BatchPressure the urgency of batch work, both 0 to 1.
	OnlineTailWeight, BatchPressure float64
	// MeanHold is the average time that a run holds a slot.
	MeanHold time.Duration
}

// TunerOutput holds the limit in slots and how many of them batch work may use.
type TunerOutput struct {
	Limit, BatchSlots int
	// Tail is the 95th percentile of observed time divided by objective in the window that just ended; 0 if none did.
	Tail float64
	// Reason describes the change that a window ended with; empty if there was none.
	Reason string
}

// NewTuner returns a tuner that starts at limit and lets batch work use all of it.
func NewTuner(limit int) *Tuner { return &Tuner{limit: float64(max(1, limit)), allowance: 1} }

// Observe adds an online run to the window: its ratio of observed time to objective, and the fraction of such runs
// that may exceed 1.
func (t *Tuner) Observe(now time.Time, ratio, allowedMissRate float64) {
	if now.Before(t.settledAt) {
		return
	}
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	t.ratios = append(t.ratios, ratio)
	t.allowedMisses += allowedMissRate
	if ratio > 1 {
		t.misses++
	}
}

// TailTarget returns the ratio of online tail to objective below which batch work may grow: 0.7 if only the online
// tail counts, 1.1 if only batch throughput counts, and up to 0.15 more for batch work that is about to miss its
// completion window.
func TailTarget(weight, pressure float64) float64 {
	return 1.1 - 0.4*clampToUnit(weight) + 0.15*clampToUnit(pressure)
}

// AllowanceFloor returns the fraction of the limit that batch work keeps regardless of the online tail. Urgent batch
// work keeps up to a fifth; a higher weight of the online tail reduces it.
func AllowanceFloor(weight, pressure float64) float64 {
	return 0.2 * clampToUnit(pressure) * (1 - 0.75*clampToUnit(weight))
}

// Update ends the window if it is complete, adjusts limit and allowance, and returns the current values.
func (t *Tuner) Update(now time.Time, in TunerInput) TunerOutput {
	ceiling := float64(in.Slots)
	if in.Slots <= 0 {
		ceiling = defaultMaxSlots
	}
	if in.Slots > 0 && !t.hasReportedSlots {
		// The engine's own batch size is the best initial value; from there the limit follows the objectives.
		t.limit, t.hasReportedSlots = ceiling, true
	}
	t.limit = math.Min(t.limit, ceiling)
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	age, n := now.Sub(t.windowStart), len(t.ratios)
	out := TunerOutput{}
	switch {
	case n >= windowSamples && age >= windowTime, n >= minSamples && age >= windowMax:
		out.Tail = t.tailRatio()
		out.Reason = t.adjust(in, out.Tail, ceiling)
		t.resetWindow(now, in, out.Reason)
	case n < minSamples && age >= windowMax:
		// There is too little online work to slow down, so both values are raised again; the limit only if the
		// upstream reports its slots.
		if in.Slots > 0 {
			t.limit = math.Min(ceiling, t.limit+math.Max(1, limitIncrease*t.limit))
		}
		t.allowance = math.Min(1, t.allowance+idleAllowanceIncrease)
		t.resetWindow(now, in, "")
	}
	t.allowance = math.Max(t.allowance, AllowanceFloor(in.OnlineTailWeight, in.BatchPressure))
	out.Limit = max(1, int(t.limit))
	out.BatchSlots = int(math.Round(t.allowance * float64(out.Limit)))
	return out
}

// resetWindow starts a new window, after a settling time if the last one ended with a change.
func (t *Tuner) resetWindow(now time.Time, in TunerInput, reason string) {
	t.ratios, t.misses, t.allowedMisses, t.windowStart = t.ratios[:0], 0, 0, time.Time{}
	if reason != "" {
		t.settledAt = now.Add(min(in.MeanHold, maxSettleTime))
	}
}

// adjust changes limit or allowance at the end of a window. It returns the reason, or "" for a routine rise of the
// allowance or no change.
func (t *Tuner) adjust(in TunerInput, tail, ceiling float64) string {
	target := TailTarget(in.OnlineTailWeight, in.BatchPressure)
	overBudget := float64(t.misses) > math.Max(1, t.allowedMisses)
	switch {
	case in.UsedBatchSlots > 0 && tail > target:
		t.allowance *= allowanceDecrease
		return fmt.Sprintf("online tail is %.2f times its objective, above the target of %.2f: batch allowance lowered to %.2f", tail, target, t.allowance)
	case in.UsedBatchSlots == 0 && overBudget && float64(in.PeakSlots) >= t.limit/2:
		t.limit = math.Max(1, t.limit*limitDecrease)
		return fmt.Sprintf("%d of %d runs missed their objective: limit lowered to %.1f", t.misses, len(t.ratios), t.limit)
	}
	if tail < target && t.allowance < 1 {
		t.allowance = math.Min(1, t.allowance+allowanceIncrease*(1+clampToUnit(in.BatchPressure)))
	}
	if tail < limitIncreaseMaxTail && in.PeakSlots >= int(t.limit) && t.limit < ceiling {
		t.limit = math.Min(ceiling, t.limit+math.Max(1, limitIncrease*t.limit))
		return fmt.Sprintf("online tail is %.2f times its objective with all slots in use: limit raised to %.1f", tail, t.limit)
	}
	return ""
}

// tailRatio returns the 95th percentile of the ratios in the window.
func (t *Tuner) tailRatio() float64 {
	sorted := append([]float64(nil), t.ratios...)
	sort.Float64s(sorted)
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

// Parameters of the headroom. On a simulated engine at 60 % online load, keeping one of 8 slots free costs batch work
// little, since it saves preemptions. Preempting runs to restore it lowered the p99 first-token time with a backlog
// from 2.0 to 1.24 times that without a backlog, but batch throughput fell from 78 to 56 % of the idle slots. Batch runs
// are therefore preempted for it only at a weight near 1.
const (
	maxHeadroomFraction = 0.1
	minWeightForOneSlot = 0.5
	minWeightToRestore  = 0.9
)

// Headroom returns how many of limit slots batch work leaves free, so that online work need not wait for a run to end,
// and whether batch runs are preempted to restore them. It is up to a tenth of the slots, in proportion to the
// online_tail_weight; at a weight of 0.5 or more it is at least one if limit is above 1.
func Headroom(limit int, weight float64) (slots int, restore bool) {
	slots = int(math.Round(maxHeadroomFraction * clampToUnit(weight) * float64(limit)))
	if weight >= minWeightForOneSlot && limit > 1 {
		slots = max(slots, 1)
	}
	return slots, weight >= minWeightToRestore
}

func clampToUnit(x float64) float64 { return math.Max(0, math.Min(1, x)) }
