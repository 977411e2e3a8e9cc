package admission

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Tuner learns the concurrency limit of an upstream and the part of it that batch work may use, from the times
// of online runs against their objectives. While batch work runs, harm to the online tail lowers the batch
// allowance; only without batch work does it lower the limit.
type Tuner struct {
	limit     float64
	allowance float64
	// started is set once the limit was set to the slots that the upstream reports.
	started bool
	ratios  []float64
	misses  int
	mayMiss float64
	since   time.Time
	// settled is when runs that started under the last change have ended.
	settled time.Time
}

// Parameters of the tuner.
const (
	// windowSamples and windowTime end a window of observation; a window of windowMax ends with fewSamples.
	windowSamples = 16
	windowTime    = 250 * time.Millisecond
	windowMax     = 2 * time.Second
	fewSamples    = 4
	// limitDecrease and limitIncrease are applied per window; the increase only while the limit was reached.
	limitDecrease = 0.9
	limitIncrease = 0.05
	// limitHeadroom is the tail ratio below which the limit may rise.
	limitHeadroom = 0.9
	// allowanceDecrease halves the harm within two windows; allowanceIncrease regains it within a few seconds.
	allowanceDecrease = 0.7
	allowanceIncrease = 0.05
	idleIncrease      = 0.2
	// maxSettle bounds how long a change is left to take effect.
	maxSettle = 2 * time.Second
	// unknownSlots bounds the limit of an upstream that does not report its slots.
	unknownSlots = 64
)

// TunerInput is what was observed since the last update.
type TunerInput struct {
	// Slots is what the upstream reports; 0 when not known.
	Slots int
	// Peak is the most slots in use, Batch the slots in use by batch work.
	Peak, Batch int
	// Weight is the online_tail_weight and Pressure the urgency of batch work, both 0 to 1.
	Weight, Pressure float64
	// Hold is how long a run takes.
	Hold time.Duration
}

// TunerOutput is the limit in slots and how many of them batch work may use.
type TunerOutput struct {
	Limit, BatchSlots int
	// Tail is the tail of observed time over objective in the window; 0 without samples.
	Tail float64
	// Reason is set when a window ended with a change.
	Reason string
}

// NewTuner returns a tuner that starts at limit and lets batch work use all of it.
func NewTuner(limit int) *Tuner { return &Tuner{limit: float64(max(1, limit)), allowance: 1} }

// Observe takes the ratio of observed time to objective of an online run, and the part of such runs that may
// exceed 1.
func (t *Tuner) Observe(now time.Time, ratio, mayMiss float64) {
	if now.Before(t.settled) {
		return
	}
	if t.since.IsZero() {
		t.since = now
	}
	t.ratios = append(t.ratios, ratio)
	t.mayMiss += mayMiss
	if ratio > 1 {
		t.misses++
	}
}

// TailTarget is the ratio of online tail to objective up to which batch work may grow: 0.7 when only the online
// tail counts, 1.1 when only batch throughput counts, and up to 0.15 more for batch work that is about to
// miss its completion window.
func TailTarget(weight, pressure float64) float64 {
	return 1.1 - 0.4*clamp(weight) + 0.15*clamp(pressure)
}

// AllowanceFloor is the part of the limit that batch work keeps whatever the online tail does. Urgent batch work
// keeps up to a fifth, less the more the online tail weighs.
func AllowanceFloor(weight, pressure float64) float64 {
	return 0.2 * clamp(pressure) * (1 - 0.75*clamp(weight))
}

// Update ends the window if it holds enough and returns the present values.
func (t *Tuner) Update(now time.Time, in TunerInput) TunerOutput {
	ceiling := float64(in.Slots)
	if in.Slots <= 0 {
		ceiling = unknownSlots
	}
	if in.Slots > 0 && !t.started {
		// The engine's own batch size is the best first guess; from there the limit follows the objectives.
		t.limit, t.started = ceiling, true
	}
	t.limit = math.Min(t.limit, ceiling)
	if t.since.IsZero() {
		t.since = now
	}
	age, n := now.Sub(t.since), len(t.ratios)
	out := TunerOutput{}
	switch {
	case n >= windowSamples && age >= windowTime, n >= fewSamples && age >= windowMax:
		out.Tail = t.tail()
		out.Reason = t.step(in, out.Tail, ceiling)
		t.restart(now, in, out.Reason)
	case n < fewSamples && age >= windowMax:
		// Too little online work to be harmed: both values drift back, the limit only to slots that are known.
		if in.Slots > 0 {
			t.limit = math.Min(ceiling, t.limit+math.Max(1, limitIncrease*t.limit))
		}
		t.allowance = math.Min(1, t.allowance+idleIncrease)
		t.restart(now, in, "")
	}
	t.allowance = math.Max(t.allowance, AllowanceFloor(in.Weight, in.Pressure))
	out.Limit = max(1, int(t.limit))
	out.BatchSlots = int(math.Round(t.allowance * float64(out.Limit)))
	return out
}

func (t *Tuner) restart(now time.Time, in TunerInput, reason string) {
	t.ratios, t.misses, t.mayMiss, t.since = t.ratios[:0], 0, 0, time.Time{}
	if reason != "" {
		t.settled = now.Add(min(in.Hold, maxSettle))
	}
}

// step changes one of the two values after a window and says why.
func (t *Tuner) step(in TunerInput, tail, ceiling float64) string {
	target := TailTarget(in.Weight, in.Pressure)
	burning := float64(t.misses) > math.Max(1, t.mayMiss)
	switch {
	case in.Batch > 0 && tail > target:
		t.allowance *= allowanceDecrease
		return fmt.Sprintf("online tail at %.2f of its objective, target %.2f: batch allowance down to %.2f", tail, target, t.allowance)
	case in.Batch == 0 && burning && float64(in.Peak) >= t.limit/2:
		t.limit = math.Max(1, t.limit*limitDecrease)
		return fmt.Sprintf("%d of %d runs missed their objective: limit down to %.1f", t.misses, len(t.ratios), t.limit)
	}
	if tail < target && t.allowance < 1 {
		t.allowance = math.Min(1, t.allowance+allowanceIncrease*(1+clamp(in.Pressure)))
	}
	if tail < limitHeadroom && in.Peak >= int(t.limit) && t.limit < ceiling {
		t.limit = math.Min(ceiling, t.limit+math.Max(1, limitIncrease*t.limit))
		return fmt.Sprintf("online tail at %.2f of its objective with all slots in use: limit up to %.1f", tail, t.limit)
	}
	return ""
}

// tail returns the 95th percentile of the window.
func (t *Tuner) tail() float64 {
	sorted := append([]float64(nil), t.ratios...)
	sort.Float64s(sorted)
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}

// Parameters of the headroom. On a model engine at 60 % online load, one free slot of 8 costs batch work little,
// since it saves preemptions; to end runs for it took the p99 first token with a backlog from 2.0 to 1.24 times
// the one without, and batch throughput from 78 to 56 % of the idle slots. So only a weight near 1 asks for it.
const (
	headroomPart  = 0.1
	oneSlotWeight = 0.5
	restoreWeight = 0.9
)

// Headroom returns how many of limit slots batch work leaves free, and whether batch runs are ended to keep them
// free. Online work that finds a free slot does not wait for a run to leave. It is up to a tenth of the slots, by
// the online_tail_weight; upstreams with few slots keep one from a weight of 0.5 on.
func Headroom(limit int, weight float64) (slots int, restore bool) {
	slots = int(math.Round(headroomPart * clamp(weight) * float64(limit)))
	if weight >= oneSlotWeight && limit > 1 {
		slots = max(slots, 1)
	}
	return slots, weight >= restoreWeight
}

func clamp(x float64) float64 { return math.Max(0, math.Min(1, x)) }
