package batch

import (
	"context"
	"fmt"
	"time"

	"trefoilplank.example/pkg/operator/status"
)

// jobWork counts the parts of one job that this node holds and their items.
type jobWork struct {
	parts, running, waiting int
	progressAt              time.Time
}

// Status implements status.Provider with this node's work on each open job.
func (c *Controller) Status(context.Context) status.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	work := map[string]*jobWork{}
	for id, p := range c.parts {
		w := work[id.job]
		if w == nil {
			w = &jobWork{}
			work[id.job] = w
		}
		w.parts++
		w.running += len(p.running)
		w.waiting += p.remaining - len(p.running)
		if p.progressAt.After(w.progressAt) {
			w.progressAt = p.progressAt
		}
	}
	var r status.Report
	for id, j := range c.openJobs {
		w := work[id]
		if w == nil {
			// Every node lists all open jobs, so that a job without a holder is visible too.
			r.Objects = append(r.Objects, status.Object{
				Kind: status.KindJob, Name: id, Part: "batch",
				Desired:    fmt.Sprintf("%d items by %s", j.summary.Items, j.summary.Deadline.Format(time.RFC3339)),
				LastChange: j.summary.Created,
			})
			continue
		}
		r.Objects = append(r.Objects, status.Object{
			Kind: status.KindJob, Name: id, Part: "batch on " + c.Node,
			Desired: fmt.Sprintf("%d items by %s", j.summary.Items, j.summary.Deadline.Format(time.RFC3339)),
			Observed: fmt.Sprintf("%s holds %d parts with %d items running and %d waiting", c.Node, w.parts, w.running,
				w.waiting),
			LastChange: w.progressAt, Why: "an item started or ended",
		})
	}
	if c.storeDown {
		r.Problems = append(r.Problems, status.Problem{
			Cause:    "batch results can't be stored, since the object API gives no answer",
			System:   "items in hand go on; results wait in memory within a bound and are stored later",
			Operator: "restore the object API",
		})
	}
	return r
}
