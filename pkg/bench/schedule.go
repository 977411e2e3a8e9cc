package bench

import (
	"math/rand/v2"
	"time"
)

// Arrival is one planned call.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At   time.Duration
	Spec CallSpec
	// Prefix selects one of the prompt prefixes of the profile. Unique makes this call's prompt, or the record that it
	// looks up, different from those of all other calls.
	Prefix int
	Unique uint64
}

// Schedule plans the calls of a run of the given length: Poisson arrivals at rate calls per second, averaged over bursts
// and the time between them. The same seed gives the same plan.
func (p Profile) Schedule(rate float64, length time.Duration, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	base := rate / p.meanBurstFactor()
	var plan []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (base * p.burstFactorAt(at)) * float64(time.Second))
		if at >= length {
			return plan
		}
		plan = append(plan, Arrival{At: at, Spec: p.pickSpec(rng), Prefix: rng.IntN(max(1, p.Prefixes)), Unique: rng.Uint64()})
	}
}

// burstFactorAt returns the factor by which a burst, if any, raises the arrival rate at a point in time.
func (p Profile) burstFactorAt(at time.Duration) float64 {
	if p.BurstFactor > 1 && p.BurstEvery > 0 && at%p.BurstEvery >= p.BurstEvery-p.BurstLength {
		return p.BurstFactor
	}
	return 1
}

// meanBurstFactor returns the average of burstFactorAt over one burst period.
func (p Profile) meanBurstFactor() float64 {
	if p.BurstFactor <= 1 || p.BurstEvery <= 0 {
		return 1
	}
	burst := float64(p.BurstLength) / float64(p.BurstEvery)
	return 1 + burst*(p.BurstFactor-1)
}

// pickSpec returns a random kind of call, each with a probability in proportion to its weight.
func (p Profile) pickSpec(rng *rand.Rand) CallSpec {
	total := 0.0
	for _, s := range p.Mix {
		total += s.Weight
	}
	point := rng.Float64() * total
	for _, s := range p.Mix {
		if point -= s.Weight; point < 0 {
			return s
		}
	}
	return p.Mix[len(p.Mix)-1]
}
