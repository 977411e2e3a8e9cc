package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against refusing a job that fits exactly, admitting one token too many, and inviting a job that can never fit.
func TestVerdicts(t *testing.T) {
	claims := []Claim{{"a", 1, 40}, {"b", 2, 30}, {"later", 9, 1000}, {"own", 3, 999}}
	for tokens, want := range map[int64]Decision{
		30:  {Admitted, 70, 0},
		31:  {Full, 70, 1},
		100: {Full, 70, 70},
		101: {TooLarge, 70, 71},
	} {
		assert.Equal(t, Decide(100, Claim{"own", 3, tokens}, claims), want, "%d tokens", tokens)
	}
}

// Guards against nodes that together admit more than the limit, because each decides with another view of finished items
// and claims arrive between a claim and its decision.
func TestAdmittedClaimsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		type job struct {
			Claim
			decided, admitted bool
			left              int64
		}
		var jobs []*job
		revision := int64(0)
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0: // A node records a claim.
				revision++
				size := rapid.Int64Range(1, 60).Draw(t, "tokens")
				jobs = append(jobs, &job{Claim: Claim{fmt.Sprint(step), revision, size}, left: size})
			case 1: // A node decides on any undecided claim, with upper bounds of what is left of the others.
				var claims []Claim
				var own *job
				for _, j := range jobs {
					if !j.decided && (own == nil || rapid.Bool().Draw(t, "this one")) {
						own = j
					}
					if j.decided && !j.admitted {
						continue
					}
					claims = append(claims, Claim{j.Job, j.Order, rapid.Int64Range(j.left, j.Tokens).Draw(t, "known")})
				}
				if own != nil {
					own.decided, own.admitted = true, Decide(limit, own.Claim, claims).Verdict == Admitted
				}
			case 2: // Items of a running job finish.
				for _, j := range jobs {
					if j.admitted && j.left > 0 && rapid.Bool().Draw(t, "finishes") {
						j.left -= rapid.Int64Range(1, j.left).Draw(t, "finished")
					}
				}
			}
			sum := int64(0)
			for _, j := range jobs {
				if j.admitted {
					sum += j.left
				}
			}
			if sum > limit {
				t.Fatalf("%d tokens wait after step %d", sum, step)
			}
		}
	})
}

// Guards against a time to come back that is zero, or far beyond the time in which a full route is worked off.
func TestRetryAfterFollowsTheExcess(t *testing.T) {
	const completion = 18 * time.Second
	assert.Equal(t, RetryAfter(1000, 1, completion), minRetryAfter)
	assert.Equal(t, RetryAfter(1000, 500, completion), 9*time.Second)
	assert.Equal(t, RetryAfter(1000, 5000, completion), completion)
	assert.Equal(t, RetryAfter(0, 10, completion), minRetryAfter)
}
