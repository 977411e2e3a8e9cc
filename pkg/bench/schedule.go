package bench

import (
	"math/rand/v2"
	"time"
)

// Arrival is one planned call.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At     time.Duration
	Share  Share
	Prefix int
	Unique uint64
}

// Schedule plans the calls of a run of the given length: Poisson arrivals at rate calls per second on average,
// raised during bursts. The same seed gives the same plan.
func (p Profile) Schedule(rate float64, length time.Duration, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	base := rate / p.meanFactor()
	var plan []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (base * p.factor(at)) * float64(time.Second))
		if at >= length {
			return plan
		}
		plan = append(plan, Arrival{At: at, Share: p.pick(rng), Prefix: rng.IntN(max(1, p.Prefixes)), Unique: rng.Uint64()})
	}
}

// factor returns by how much the arrival rate is raised at a point in time.
func (p Profile) factor(at time.Duration) float64 {
	if p.BurstFactor > 1 && p.BurstEvery > 0 && at%p.BurstEvery >= p.BurstEvery-p.BurstLength {
		return p.BurstFactor
	}
	return 1
}

// meanFactor returns the average of factor over one burst period.
func (p Profile) meanFactor() float64 {
	if p.BurstFactor <= 1 || p.BurstEvery <= 0 {
		return 1
	}
	burst := float64(p.BurstLength) / float64(p.BurstEvery)
	return 1 + burst*(p.BurstFactor-1)
}

func (p Profile) pick(rng *rand.Rand) Share {
	total := 0.0
	for _, s := range p.Mix {
		total += s.Weight
	}
	x := rng.Float64() * total
	for _, s := range p.Mix {
		if x -= s.Weight; x < 0 {
			return s
		}
	}
	return p.Mix[len(p.Mix)-1]
}
