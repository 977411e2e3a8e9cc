package batchfill

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an institution that gets more or less than its share while all have work, and against jobs of one
// institution that get different service, for items of random costs.
func TestSharesBetweenInstitutions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var jobs []Job
		shares, totalShares := map[string]float64{}, 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "institutions") {
			name := fmt.Sprint("i", i)
			shares[name] = float64(rapid.IntRange(1, 10).Draw(t, "share"))
			totalShares += shares[name]
			for j := range rapid.IntRange(1, 4).Draw(t, "jobs") {
				jobs = append(jobs, Job{ID: fmt.Sprint(name, j), Institution: name, Share: shares[name],
					Remaining: 1 << 20, Created: now, Deadline: now.Add(24 * time.Hour)})
			}
		}
		var virtual VirtualTime
		virtual.Align(jobs)
		served, totalServed := map[string]float64{}, 0.0
		const maxCost = 50
		for range 3000 {
			j := jobs[virtual.Order(jobs, now)[0]]
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			virtual.Add(j, cost)
			served[j.Institution] += cost
			served[j.ID] += cost
			totalServed += cost
		}
		for name, share := range shares {
			want := totalServed * share / totalShares
			// The deviation is at most one item of the highest cost per unit of share.
			assert.Assert(t, abs(served[name]-want) <= maxCost*totalShares, "%s: %v instead of %v", name, served[name], want)
		}
		for _, a := range jobs {
			for _, b := range jobs {
				if a.Institution == b.Institution {
					assert.Assert(t, abs(served[a.ID]-served[b.ID]) <= maxCost, "%s %v, %s %v", a.ID, served[a.ID], b.ID, served[b.ID])
				}
			}
		}
	})
}

func abs(x float64) float64 { return max(x, -x) }

// Guards against a new job that waits for service because its count starts too high, or that blocks all others because
// its count starts at zero and has to catch up first.
func TestNewJobGetsEqualService(t *testing.T) {
	now := time.Now()
	job := func(id string) Job {
		return Job{ID: id, Institution: "a", Remaining: 100, Created: now, Deadline: now.Add(time.Hour)}
	}
	jobs := []Job{job("large"), job("other")}
	var virtual VirtualTime
	for range 1000 {
		virtual.Add(jobs[virtual.Order(jobs, now)[0]], 1)
	}
	jobs = append(jobs, job("lot"))
	virtual.Align(jobs)
	served := map[string]int{}
	for range 30 {
		j := jobs[virtual.Order(jobs, now)[0]]
		virtual.Add(j, 1)
		served[j.ID]++
	}
	for _, j := range jobs {
		assert.Assert(t, served[j.ID] >= 9 && served[j.ID] <= 11, "%v", served)
	}
}

// Guards against a pressure that falls as the deadline approaches or leaves its range, and against an urgent job that
// is served after one that is not urgent.
func TestPressure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		j := Job{Created: start, Deadline: start.Add(time.Hour), Remaining: rapid.IntRange(1, 1000).Draw(t, "remaining"),
			Rate: rapid.Float64Range(0, 10).Draw(t, "rate")}
		last := 0.0
		for minute := range 70 {
			p := j.Pressure(start.Add(time.Duration(minute) * time.Minute))
			assert.Assert(t, p >= last && p <= 1, "%v after %v", p, last)
			last = p
		}
		assert.Equal(t, last, 1.0)
		j.Remaining = 0
		assert.Equal(t, j.Pressure(start.Add(2*time.Hour)), 0.0)
	})
	now := time.Now()
	jobs := []Job{
		{ID: "calm", Institution: "a", Remaining: 10, Created: now, Deadline: now.Add(time.Hour)},
		{ID: "urgent", Institution: "a", Remaining: 100, Rate: 1, Created: now, Deadline: now.Add(100 * time.Second)},
	}
	var virtual VirtualTime
	virtual.Add(jobs[1], 1000)
	assert.Equal(t, jobs[virtual.Order(jobs, now)[0]].ID, "urgent")
}
