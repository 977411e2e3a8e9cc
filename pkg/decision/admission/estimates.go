package admission

import (
	"time"

	"trefoilplank.example/api"
)

// Sample holds the measured times of one finished run. A zero time is unknown.
type Sample struct {
	// Queued is how long the request waited for its slot.
	Queued        time.Duration
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
}

// Estimates holds moving averages of the times and tokens of online runs on an upstream.
type Estimates struct {
	FirstToken, BetweenTokens, Duration time.Duration
	Tokens                              float64
	// minBetweenTokens is the shortest observed time between tokens, which approximates an idle engine.
	minBetweenTokens time.Duration
}

// smoothingFactor is the weight of a new sample. Averages follow a change within about 10 runs.
const smoothingFactor = 0.125

// updateAverage adds a sample to an exponential moving average. Unknown samples are ignored.
func updateAverage(average *time.Duration, sample time.Duration) {
	switch {
	case sample <= 0:
	case *average == 0:
		*average = sample
	default:
		*average += time.Duration(smoothingFactor * float64(sample-*average))
	}
}

// Observe adds a finished run to the averages.
func (e *Estimates) Observe(s Sample) {
	updateAverage(&e.FirstToken, s.FirstToken)
	updateAverage(&e.BetweenTokens, s.BetweenTokens)
	updateAverage(&e.Duration, s.Duration)
	if s.BetweenTokens > 0 && (e.minBetweenTokens == 0 || s.BetweenTokens < e.minBetweenTokens) {
		e.minBetweenTokens = s.BetweenTokens
	}
	if s.Tokens > 0 {
		e.Tokens += smoothingFactor * (float64(s.Tokens) - e.Tokens)
	}
}

// ExpectedRunTime returns the expected duration of a run of at most maxTokens tokens, or 0 if nothing is known. It
// underestimates on purpose, since a request may be dropped early only if it can't meet its deadline.
func (e *Estimates) ExpectedRunTime(maxTokens int) time.Duration {
	if e.BetweenTokens == 0 {
		return e.FirstToken
	}
	tokens := e.Tokens
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return e.FirstToken + time.Duration(tokens*float64(e.BetweenTokens)/2)
}

// Objectives are the latency objectives of one class of an institution. A zero latency means no objective.
type Objectives struct {
	FirstToken, BetweenTokens, Duration api.Objective
}

// ObjectivesOf returns the objectives that apply to a class; of several for one metric, the strictest.
func ObjectivesOf(r api.Rules, institution, class string) Objectives {
	var objectives Objectives
	rules, _ := r.ForInstitution(institution)
	for _, o := range rules.Objectives {
		if o.Class != "" && o.Class != class {
			continue
		}
		var selected *api.Objective
		switch o.Metric {
		case api.MetricFirstToken:
			selected = &objectives.FirstToken
		case api.MetricBetweenTokens:
			selected = &objectives.BetweenTokens
		case api.MetricDuration:
			selected = &objectives.Duration
		default:
			continue
		}
		if selected.Latency == 0 || o.Latency < selected.Latency {
			*selected = o
		}
	}
	return objectives
}

// defaultSlowdown, times the time between tokens of an idle engine, is the objective where the rules state none. The
// design's objective of 33 ms between tokens is about 4 times that of an idle engine.
const defaultSlowdown = 4

// WorstRatio returns the observed time divided by the objective, for the metric with the highest ratio, and the
// fraction of requests that may miss that objective. The first token is measured from the grant of the slot, because
// time in the queue does not show that the concurrency limit is too high. ok is false if no metric has both values.
func (o Objectives) WorstRatio(s Sample, e *Estimates) (ratio, allowedMissRate float64, ok bool) {
	consider := func(observed time.Duration, objective api.Objective) {
		if observed <= 0 || objective.Latency <= 0 {
			return
		}
		if r := float64(observed) / float64(objective.Latency); !ok || r > ratio {
			ratio, allowedMissRate, ok = r, 1-objective.Target, true
		}
	}
	consider(s.FirstToken, o.FirstToken)
	consider(s.BetweenTokens, o.BetweenTokens)
	consider(s.Duration, o.Duration)
	if !ok && e.minBetweenTokens > 0 && s.BetweenTokens > 0 {
		return float64(s.BetweenTokens) / float64(defaultSlowdown*e.minBetweenTokens), 0.05, true
	}
	return ratio, allowedMissRate, ok
}
