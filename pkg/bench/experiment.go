package bench

import (
	"context"
	"time"
)

// Experiment sends the same planned calls to each variant.
type Experiment struct {
	Profile Profile
	// Rate is the average number of calls a second.
	Rate        float64
	Length      time.Duration
	Repetitions int
	Seed        uint64
	// Variants run one after the other within each repetition, so that slow changes of the machine affect all of them.
	Variants []Variant
	// Progress, if not nil, is called with 1 after each call, from several goroutines at once.
	Progress func(done int)
}

// Variant is one of the targets that an experiment compares.
type Variant struct {
	Target Target
	// Setup, if not nil, is called before each run of the variant. The function that it returns is called after the run
	// and ends what Setup started.
	Setup func(ctx context.Context) (func() error, error)
}

// Calls returns the number of calls that the experiment plans.
func (e Experiment) Calls() int {
	total := 0
	for i := range e.Repetitions {
		total += len(e.Profile.Schedule(e.Rate, e.Length, e.Seed+uint64(i))) * len(e.Variants)
	}
	return total
}

// Run runs all repetitions and returns one result for each variant, in the order of Variants.
func (e Experiment) Run(ctx context.Context) ([]*Result, error) {
	results := make([]*Result, len(e.Variants))
	for i, v := range e.Variants {
		results[i] = newResult(v.Target.Name)
	}
	progress := func() {}
	if e.Progress != nil {
		progress = func() { e.Progress(1) }
	}
	for repetition := range e.Repetitions {
		plan := e.Profile.Schedule(e.Rate, e.Length, e.Seed+uint64(repetition))
		for i, v := range e.Variants {
			r, err := e.runVariant(ctx, v, plan, progress)
			if err != nil {
				return nil, err
			}
			results[i].merge(r)
		}
	}
	return results, ctx.Err()
}

// runVariant runs the plan once against one variant, after its Setup and before the function that Setup returned, if any.
func (e Experiment) runVariant(ctx context.Context, v Variant, plan []Arrival, progress func()) (*Result, error) {
	if v.Setup != nil {
		teardown, err := v.Setup(ctx)
		if err != nil {
			return nil, err
		}
		r := Run(ctx, v.Target, e.Profile, plan, progress)
		return r, teardown()
	}
	return Run(ctx, v.Target, e.Profile, plan, progress), nil
}
