package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/decision/quarantine"
)

// ReportArgs reports the end of a run.
type ReportArgs struct {
	Fingerprint, Request string
	Trial                bool
	Ending               quarantine.Ending
	// Age is the time since the run began.
	Age time.Duration
}

// Report records the end of a run.
func (r *Receiver) Report(a *ReportArgs, _ *struct{}) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.end(a, time.Now())
	return nil
}

// end records the end of a run; c.mu is held.
func (c *Controller) end(a *ReportArgs, now time.Time) {
	c.over.Add(a.Request, struct{}{})
	c.table.End(quarantine.Run{
		Fingerprint: a.Fingerprint, Request: a.Request, Trial: a.Trial, Began: now.Add(-a.Age), How: a.Ending,
	}, now)
	c.wake(a.Fingerprint)
}

// Finished implements serving.Quarantine. The report of a crash is delivered before it returns, so that the next
// check sees it, and this node keeps it as well. Other reports are sent in the background, and only for a run with a
// reservation or one that clears a suspect.
func (c *Controller) Finished(ctx context.Context, fingerprint, requestID, upstream string, died bool) {
	args := ReportArgs{Fingerprint: fingerprint, Request: requestID, Ending: quarantine.Survived}
	switch {
	case died:
		args.Ending = quarantine.Crashed
	case upstream == "":
		args.Ending = quarantine.NotRun
	}
	own := c.ended(&args)
	ctx = context.WithoutCancel(ctx)
	if died {
		c.record(requestID, upstream, "crash-report", "the upstream died under the request", map[string]any{"trial": args.Trial})
		klog.InfoS("Upstream died under request", "request", requestID, "upstream", upstream, "trial", args.Trial)
		// One more than the holders, since this node may be one of them.
		order, _ := c.order(fingerprint, holders+1)
		c.report(ctx, slices.Concat(order, own.exported), holders+1, &args)
		return
	}
	if own.reserved || args.Ending == quarantine.Survived && c.doubted(fingerprint) {
		order := c.holdersOf(fingerprint, own)
		if !own.reserved || own.trial {
			// This node may keep the suspicion although it is no holder.
			c.local(&args, nil)
		}
		go c.report(ctx, slices.Concat(order, own.exported), holders, &args)
	}
}

// report sends a report to the nodes and then to those holders that take the place of nodes without an answer.
func (c *Controller) report(ctx context.Context, nodes []string, n int, args *ReportArgs) {
	told := map[string]bool{}
	for range candidates {
		var group sync.WaitGroup
		for _, node := range nodes {
			if !told[node] {
				told[node] = true
				group.Go(func() { c.call(ctx, node, "Report", args, &struct{}{}) })
			}
		}
		group.Wait()
		// A node that gave no answer is no longer in the order.
		nodes, _ = c.order(args.Fingerprint, n)
		if !slices.ContainsFunc(nodes, func(node string) bool { return !told[node] }) {
			return
		}
	}
}

// ended completes the report of a run and forgets the run. A crash takes its place in the table at the same time, so
// that a question never finds neither of them.
func (c *Controller) ended(args *ReportArgs) run {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	own, ok := c.runs.Peek(args.Request)
	if !ok {
		own.began = now
	}
	c.runs.Remove(args.Request)
	if ok {
		args.Request = own.reservation
	}
	args.Trial, args.Age = own.trial, now.Sub(own.began)
	if args.Ending == quarantine.Crashed {
		c.end(args, now)
	}
	return own
}
