// Package batchfill decides which batch work a node takes and runs next. It is pure: the caller passes the
// jobs, the service given so far and the time.
package batchfill

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Job is an open job as this node sees it.
type Job struct {
	ID          string
	Institution string
	// Share is the institution's weight; values of 0 and below count as 1.
	Share    float64
	Created  time.Time
	Deadline time.Time
	// Remaining is the number of items of the whole job without a result.
	Remaining int
	// Rate is the observed number of items finished per second by all nodes; 0 when not known.
	Rate float64
}

// urgentPressure is the pressure from which a job goes before its institution's other jobs.
const urgentPressure = 0.5

// Pressure is between 0 and 1: 0 while the job needs at most half of the time that is left, 1 when it needs
// all of it. Without a known rate it rises over the second half of the completion window.
func (j Job) Pressure(now time.Time) float64 {
	left := j.Deadline.Sub(now).Seconds()
	if j.Remaining <= 0 {
		return 0
	}
	if left <= 0 {
		return 1
	}
	var use float64
	if j.Rate > 0 {
		use = float64(j.Remaining) / j.Rate / left
	} else if window := j.Deadline.Sub(j.Created).Seconds(); window > 0 {
		use = 1 - left/window
	}
	return min(max(2*use-1, 0), 1)
}

// VirtualTime is the service that this node has given, as in weighted fair queueing: the cost of the items run, divided by the
// share. Whoever has the least goes next. The zero value is empty.
type VirtualTime struct {
	institutions map[string]float64
	jobs         map[string]float64
}

// Add counts an item of job.
func (l *VirtualTime) Add(j Job, cost float64) {
	if l.institutions == nil {
		l.institutions, l.jobs = map[string]float64{}, map[string]float64{}
	}
	l.institutions[j.Institution] += cost / share(j)
	l.jobs[j.ID] += cost
}

func share(j Job) float64 {
	if j.Share <= 0 {
		return 1
	}
	return j.Share
}

// Align drops what is not among the open jobs and starts new institutions and jobs at the least service of the
// present ones: they get their part from now on and make up for nothing.
func (l *VirtualTime) Align(open []Job) {
	institutions, jobs := map[string]bool{}, map[string]map[string]bool{}
	for _, j := range open {
		institutions[j.Institution] = true
		if jobs[j.Institution] == nil {
			jobs[j.Institution] = map[string]bool{}
		}
		jobs[j.Institution][j.ID] = true
	}
	old := l.jobs
	l.institutions, l.jobs = align(l.institutions, institutions), map[string]float64{}
	for _, ids := range jobs {
		maps.Copy(l.jobs, align(old, ids))
	}
}

// align keeps the entries of keys, moved down so that the least is 0; new ones get 0.
func align(service map[string]float64, keys map[string]bool) map[string]float64 {
	least, known := 0.0, false
	for k := range keys {
		if v, ok := service[k]; ok && (!known || v < least) {
			least, known = v, true
		}
	}
	aligned := make(map[string]float64, len(keys))
	for k := range keys {
		aligned[k] = max(service[k]-least, 0)
	}
	return aligned
}

// Order returns the indexes of jobs in the order in which they should be served: first the institution with the
// least service for its share; in it first urgent jobs by deadline, then the job with the least service. A
// lot of 20 items therefore waits for no more than its own part of a slot behind a job of 530,000.
func (l VirtualTime) Order(jobs []Job, now time.Time) []int {
	type entry struct {
		index                int
		institution, service float64
		urgent               bool
	}
	entries := make([]entry, len(jobs))
	for i, j := range jobs {
		entries[i] = entry{i, l.institutions[j.Institution], l.jobs[j.ID], j.Pressure(now) >= urgentPressure}
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

// Bounds of the local stock.
const (
	// minJobs and maxJobs bound the number of jobs from which a node holds a part, so that shares between them
	// can be kept item by item: two for each running item. For small parts the bounds are smallFactor higher,
	// so that a lot of 20 never waits for the end of a part of 1,000.
	minJobs     = 4
	maxJobs     = 16
	smallFactor = 4
	smallPart   = 200
	// StockBytes bounds the input lines held in memory.
	StockBytes = 32 << 20
	// maxJobParts is the number of parts of one job that a node holds without need, so that the next part is at
	// hand while the last items of another run.
	maxJobParts = 4
	// lowItems is the stock for a model below which the node takes one more part.
	lowItems = 4
)

// Stock is what a node holds.
type Stock struct {
	// Parts counts the parts held of each job, Waiting their items that are ready to run.
	Parts   map[string]int
	Waiting map[string]int
	Bytes   int
	// Items and Running count the items that wait and that run of the targets (models and services) that a
	// job needs.
	Items, Running int
}

// Take says whether the node should claim a part of the job, of about size items, and why.
func Take(s Stock, job string, size int) (bool, string) {
	held := s.Parts[job]
	limit := min(max(minJobs, 2*s.Running), maxJobs)
	if size <= smallPart {
		limit *= smallFactor
	}
	switch {
	case s.Bytes >= StockBytes:
		return false, "stock is full"
	case held == 0 && len(s.Parts) < limit:
		return true, "no part of the job is held"
	case held > 0 && held < maxJobParts && s.Waiting[job] == 0:
		return true, "no item of the job waits"
	case s.Items < max(lowItems, s.Running):
		return true, "stock is low"
	}
	return false, "stock suffices"
}
