package dispatch

import (
	"math/rand/v2"
	"time"
)

// Retry-After bounds.
const (
	// Up to retryAfterSpread is added at random to times of at least minRetryAfter, so that retries do not arrive all
	// at once.
	minRetryAfter, retryAfterSpread = 150 * time.Millisecond, 600 * time.Millisecond
	// overloadSpreadFraction is the fraction by which the maximum is reduced at random.
	overloadSpreadFraction = 0.4
	// maxRetryAfterDivisor divides the remaining time; callers wait no longer than the result before a retry.
	maxRetryAfterDivisor = 3
)

// overloadRetryAfter returns the Retry-After while all places of all nodes are in use or granted. Overload lasts as long
// as a burst, some seconds. A caller retries once, and the later it does, the more likely it finds a place: with retries
// within 0.75 s most found none, and those that queued took places from new requests. The result is therefore close to
// the longest time that callers wait, reduced at random so that retries do not arrive all at once.
func overloadRetryAfter(remaining time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration((1 - overloadSpreadFraction*rng.Float64()) * float64(remaining/maxRetryAfterDivisor))
}

// boundedRetryAfter returns the Retry-After for an expected wait of d, within what callers wait for.
func boundedRetryAfter(d, remaining time.Duration, rng *rand.Rand) time.Duration {
	d = max(d, minRetryAfter) + time.Duration(rng.Float64()*float64(retryAfterSpread))
	if d > remaining/maxRetryAfterDivisor {
		d = overloadRetryAfter(remaining, rng)
	}
	return max(d, 0)
}
