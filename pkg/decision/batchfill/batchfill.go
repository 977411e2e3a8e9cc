// Package batchfill decides which batch work a node claims and which it runs next. It has no I/O and no clock: the
// caller passes the jobs, the service they got so far and the current time.
package batchfill

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Job is an unfinished batch job as this node knows it.
type Job struct {
	ID          string
	Institution string
	// Share is the institution's weight; values of 0 and below count as 1.
	Share    float64
	Created  time.Time
	Deadline time.Time
	// Remaining is the number of items of the job without a result, on all nodes.
	Remaining int
	// Rate is the observed number of items that all nodes together finish per second, 0 if unknown.
	Rate float64
}

// minUrgentPressure is the pressure at which a job is served before the other jobs of its institution.
const minUrgentPressure = 0.5

// Pressure returns the urgency of the job, from 0 to 1: 0 while the job needs at most half of the time that is left,
// 1 if it needs all of it. Without a known rate it rises over the second half of the completion window.
func (j Job) Pressure(now time.Time) float64 {
	secondsLeft := j.Deadline.Sub(now).Seconds()
	if j.Remaining <= 0 {
		return 0
	}
	if secondsLeft <= 0 {
		return 1
	}
	var usedFraction float64
	if j.Rate > 0 {
		usedFraction = float64(j.Remaining) / j.Rate / secondsLeft
	} else if window := j.Deadline.Sub(j.Created).Seconds(); window > 0 {
		usedFraction = 1 - secondsLeft/window
	}
	return min(max(2*usedFraction-1, 0), 1)
}

// VirtualTime is the service that institutions and jobs got from this node, as in weighted fair queueing: the cost of
// the items run, for institutions divided by their share. Those with the least are served next. The zero value is empty.
type VirtualTime struct {
	institutions map[string]float64
	jobs         map[string]float64
}

// Add records that an item of the job with the given cost was run.
func (v *VirtualTime) Add(j Job, cost float64) {
	if v.institutions == nil {
		v.institutions, v.jobs = map[string]float64{}, map[string]float64{}
	}
	v.institutions[j.Institution] += cost / shareOrOne(j)
	v.jobs[j.ID] += cost
}

// shareOrOne returns the share of the job's institution, 1 if it is not positive.
func shareOrOne(j Job) float64 {
	if j.Share <= 0 {
		return 1
	}
	return j.Share
}

// Align removes institutions and jobs without open jobs, and starts new ones at the least service of those that remain:
// they get their share from now on and are not compensated for the past.
func (v *VirtualTime) Align(open []Job) {
	institutions, jobs := map[string]bool{}, map[string]map[string]bool{}
	for _, j := range open {
		institutions[j.Institution] = true
		if jobs[j.Institution] == nil {
			jobs[j.Institution] = map[string]bool{}
		}
		jobs[j.Institution][j.ID] = true
	}
	old := v.jobs
	v.institutions, v.jobs = alignToLeast(v.institutions, institutions), map[string]float64{}
	for _, ids := range jobs {
		maps.Copy(v.jobs, alignToLeast(old, ids))
	}
}

// alignToLeast returns the service of keys with the least of them subtracted; keys without an entry get 0.
func alignToLeast(service map[string]float64, keys map[string]bool) map[string]float64 {
	least, found := 0.0, false
	for k := range keys {
		if v, ok := service[k]; ok && (!found || v < least) {
			least, found = v, true
		}
	}
	aligned := make(map[string]float64, len(keys))
	for k := range keys {
		aligned[k] = max(service[k]-least, 0)
	}
	return aligned
}

// Order returns the indexes of jobs in the order in which they should be served: institutions by least service for
// their share; within one, first urgent jobs by deadline, then the others by least service. So a job of 20 items gets
// its own part of a slot and does not wait for the end of a job of 530,000.
func (v VirtualTime) Order(jobs []Job, now time.Time) []int {
	type entry struct {
		index                int
		institution, service float64
		urgent               bool
	}
	entries := make([]entry, len(jobs))
	for i, j := range jobs {
		entries[i] = entry{i, v.institutions[j.Institution], v.jobs[j.ID], j.Pressure(now) >= minUrgentPressure}
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		ja, jb := jobs[a.index], jobs[b.index]
		if c := cmp.Or(cmp.Compare(a.institution, b.institution), cmp.Compare(ja.Institution, jb.Institution)); c != 0 {
			return c
		}
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		if a.urgent {
			return cmp.Or(ja.Deadline.Compare(jb.Deadline), cmp.Compare(ja.ID, jb.ID))
		}
		return cmp.Or(cmp.Compare(a.service, b.service), ja.Created.Compare(jb.Created), cmp.Compare(ja.ID, jb.ID))
	})
	order := make([]int, len(entries))
	for i, e := range entries {
		order[i] = e.index
	}
	return order
}

// Bounds of the batch work that a node holds.
const (
	// minHeldJobs and maxHeldJobs bound the number of jobs of which a node holds parts. Within these bounds it is twice the
	// number of running items, which is enough to divide the work among jobs item by item. For parts of up to
	// maxSmallPartItems the number is smallPartFactor times higher, so that a job of 20 items never waits for the end of a
	// part of 1,000.
	minHeldJobs       = 4
	maxHeldJobs       = 16
	smallPartFactor   = 4
	maxSmallPartItems = 200
	// maxHeldBytes is the size of the input lines in memory at which no further part is claimed.
	maxHeldBytes = 32 << 20
	// maxPartsPerJob bounds the parts of one job that a node holds when it claims the next part while the last items of
	// the others run, even if it holds enough other work.
	maxPartsPerJob = 4
	// minWaitingItems is the number of waiting items for a job's targets below which the node claims one more part.
	minWaitingItems = 4
)

// HeldWork describes the batch work that a node holds.
type HeldWork struct {
	// PartsByJob is the number of held parts by job ID; WaitingByJob is the number of their items that are ready to run.
	PartsByJob   map[string]int
	WaitingByJob map[string]int
	// Bytes is the size of the held input lines.
	Bytes int
	// WaitingItems and RunningItems are the numbers of waiting and running items for the targets (models and services)
	// that the job needs.
	WaitingItems, RunningItems int
}

// ShouldClaim reports whether the node should claim a part, of about size items, of the job, and why or why not.
func ShouldClaim(work HeldWork, job string, size int) (bool, string) {
	heldParts := work.PartsByJob[job]
	maxJobs := min(max(minHeldJobs, 2*work.RunningItems), maxHeldJobs)
	if size <= maxSmallPartItems {
		maxJobs *= smallPartFactor
	}
	switch {
	case work.Bytes >= maxHeldBytes:
		return false, "the held input lines reach the memory bound"
	case heldParts == 0 && len(work.PartsByJob) < maxJobs:
		return true, "this node holds no part of the job"
	case heldParts > 0 && heldParts < maxPartsPerJob && work.WaitingByJob[job] == 0:
		return true, "no held item of the job is waiting to run"
	case work.WaitingItems < max(minWaitingItems, work.RunningItems):
		return true, "few waiting items for the job's targets"
	}
	return false, "enough waiting items for the job's targets"
}
