package admission

import (
	"time"

	"trefoilplank.example/api"
)

// Sample is what one finished run took. Zero times are unknown.
type Sample struct {
	// Queued is the time that the request waited for its slot.
	Queued        time.Duration
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
}

// Estimates smooths what online runs on an upstream take.
type Estimates struct {
	FirstToken, Between, Duration time.Duration
	Tokens                        float64
	// leastBetween is the shortest time between tokens seen, the pace of a nearly idle engine.
	leastBetween time.Duration
}

// smoothing is the weight of a new sample: the estimate follows a change within about 10 runs.
const smoothing = 0.125

func smooth(old *time.Duration, sample time.Duration) {
	switch {
	case sample <= 0:
	case *old == 0:
		*old = sample
	default:
		*old += time.Duration(smoothing * float64(sample-*old))
	}
}

// Observe takes a finished run.
func (e *Estimates) Observe(s Sample) {
	smooth(&e.FirstToken, s.FirstToken)
	smooth(&e.Between, s.BetweenTokens)
	smooth(&e.Duration, s.Duration)
	if s.BetweenTokens > 0 && (e.leastBetween == 0 || s.BetweenTokens < e.leastBetween) {
		e.leastBetween = s.BetweenTokens
	}
	if s.Tokens > 0 {
		e.Tokens += smoothing * (float64(s.Tokens) - e.Tokens)
	}
}

// Run returns the expected time of a run of at most maxTokens tokens; 0 when nothing is known. It errs on the
// short side, since a request is dropped early only when it can't meet its deadline.
func (e *Estimates) Run(maxTokens int) time.Duration {
	if e.Between == 0 {
		return e.FirstToken
	}
	tokens := e.Tokens
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return e.FirstToken + time.Duration(tokens*float64(e.Between)/2)
}

// Objectives are the objectives of a class of an institution; a zero latency means none.
type Objectives struct {
	FirstToken, Between, Duration api.Objective
}

// ObjectivesOf selects the objectives that apply to a class. The strictest of several wins.
func ObjectivesOf(r api.Rules, institution, class string) Objectives {
	var out Objectives
	rules, _ := r.ForInstitution(institution)
	for _, o := range rules.Objectives {
		if o.Class != "" && o.Class != class {
			continue
		}
		var slot *api.Objective
		switch o.Metric {
		case api.MetricFirstToken:
			slot = &out.FirstToken
		case api.MetricBetweenTokens:
			slot = &out.Between
		case api.MetricDuration:
			slot = &out.Duration
		default:
			continue
		}
		if slot.Latency == 0 || o.Latency < slot.Latency {
			*slot = o
		}
	}
	return out
}

// unstatedSlowdown is the slowdown against an idle engine that counts as the objective where the rules state
// none: the objective of the design, 33 ms, is about 4 times the pace of an idle engine.
const unstatedSlowdown = 4

// Ratio returns observed time over objective, for the metric that is worst, and the part of requests that may
// exceed it. The first token is measured from the grant of the slot: the wait in the queue does not speak
// against the concurrency limit. ok is false when nothing can be compared.
func (o Objectives) Ratio(s Sample, e *Estimates) (ratio, mayMiss float64, ok bool) {
	consider := func(observed time.Duration, objective api.Objective) {
		if observed <= 0 || objective.Latency <= 0 {
			return
		}
		if r := float64(observed) / float64(objective.Latency); !ok || r > ratio {
			ratio, mayMiss, ok = r, 1-objective.Target, true
		}
	}
	consider(s.FirstToken, o.FirstToken)
	consider(s.BetweenTokens, o.Between)
	consider(s.Duration, o.Duration)
	if !ok && e.leastBetween > 0 && s.BetweenTokens > 0 {
		return float64(s.BetweenTokens) / float64(unstatedSlowdown*e.leastBetween), 0.05, true
	}
	return ratio, mayMiss, ok
}
