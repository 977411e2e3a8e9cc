package listjob

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/wait"
)

// A job may pass to a node that learns later of the configuration by which it was accepted. Such a node neither runs nor fails its
// items: it does not know their route, or knows an earlier state of it.

// Defaults for jobs whose route sets no times.
const (
	defaultCompletion = time.Minute
	defaultRetention  = time.Hour
)

const (
	// unknownRouteTime is how long after it became the owner a node fails no item for want of a route, if it is not known by which
	// configuration the job was accepted. Configurations are in force everywhere within two seconds, and within seven while the store is
	// disrupted.
	unknownRouteTime = 10 * time.Second
	// awaitTableTime is how long a node that is asked to accept a job waits for its configuration, and awaitTablePoll the time between
	// checks.
	awaitTableTime, awaitTablePoll = 500 * time.Millisecond, 20 * time.Millisecond
)

// jobTimes are when the results of a job are due and until when its items are run. fromRoute is set if its route sets them.
type jobTimes struct {
	due, retryUntil time.Time
	fromRoute       bool
}

// covers reports whether a configuration is at least as new as the one by which the job was accepted.
func (j *job) covers(table *routing.Table) bool { return table.Version >= j.head.TableVersion }

// setTimes sets the job's times from its route, once that is known.
func (c *Controller) setTimes(j *job, table *routing.Table) {
	if t := j.times.Load(); t != nil && t.fromRoute {
		return
	}
	t := jobTimes{due: j.head.Submitted.Add(defaultCompletion), retryUntil: j.head.Submitted.Add(retention(nil))}
	if table != nil && j.covers(table) {
		if r := table.Match(j.head.Host, j.head.Path); r != nil {
			t.fromRoute = true
			if r.Completion > 0 {
				t.due = j.head.Submitted.Add(r.Completion)
			}
			t.retryUntil = j.head.Submitted.Add(retention(r))
		}
	}
	j.times.Store(&t)
}

// retention returns how long jobs of a route, or of an unknown one if it is nil, are kept.
func retention(r *routing.Route) time.Duration {
	if r == nil || r.Retention <= 0 {
		return defaultRetention
	}
	return r.Retention
}

// due returns when the results are due, and retryUntil until when items are run. Both are called on started jobs.
func (j *job) due() time.Time        { return j.times.Load().due }
func (j *job) retryUntil() time.Time { return j.times.Load().retryUntil }

// routeRemoved reports whether the route of an item of the job, which the configuration in force lacks, certainly was in force before.
func (j *job) routeRemoved(now time.Time) bool {
	return j.head.TableVersion > 0 || now.Sub(j.ownedAt) > unknownRouteTime
}

// tableVersion returns the version of the configuration in force, 0 if there is none.
func (c *Controller) tableVersion() int64 {
	if table := c.options.Table(); table != nil {
		return table.Version
	}
	return 0
}

// awaitTable waits until the configuration in force has a version, and reports whether it has.
func (c *Controller) awaitTable(ctx context.Context, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTableTime)
	defer cancel()
	for c.tableVersion() < version {
		if wait.Sleep(ctx, awaitTablePoll) != nil {
			return false
		}
	}
	return true
}
