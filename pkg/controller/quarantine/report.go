package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/controller/failedruns"
	failed "trefoilplank.example/pkg/decision/failedruns"
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
	r.c.recordEnd(a, time.Now())
	return nil
}

// recordEnd stores the end of a run in the table, once for each reservation, since this node may report a crash to itself
// as a holder; c.mu is held.
func (c *Controller) recordEnd(a *ReportArgs, now time.Time) {
	if isReservation(a.Request) {
		if c.ended.Contains(a.Request) {
			return
		}
		c.ended.Add(a.Request, struct{}{})
	}
	if a.Trial && a.Ending == quarantine.Crashed {
		c.failedRuns.Convict(a.Fingerprint)
	}
	c.table.End(quarantine.Run{
		Fingerprint: a.Fingerprint, Request: a.Request, Trial: a.Trial, Began: now.Add(-a.Age), Ending: a.Ending,
	}, now)
	c.wakeChecks(a.Fingerprint)
}

// ReportRun implements serving.Quarantine. It delivers the report of a crash before it returns, so that the next check
// sees the crash, and this node stores it as well. A crash with a common cause is reported as such: otherwise the loss of a
// rack would make hundreds of suspects, each of which needs an idle upstream, at the expense of all other requests. Other
// reports are sent in the background, and only for a run that had a reservation or that clears a suspicion.
func (c *Controller) ReportRun(ctx context.Context, works failed.Works, requestID, upstream string, crashed bool) (excused bool) {
	fingerprint := works.Request
	args := ReportArgs{Fingerprint: fingerprint, Request: requestID, Ending: quarantine.Survived}
	switch {
	case crashed:
		args.Ending = quarantine.Crashed
	case upstream == "":
		args.Ending = quarantine.NotRun
	}
	own, crash := c.endRun(&args, works, upstream)
	ctx = context.WithoutCancel(ctx)
	if args.Ending == quarantine.Survived {
		c.failedRuns.PartsSurvived(works.Parts)
	}
	if crashed {
		var sharing sync.WaitGroup
		defer sharing.Wait()
		sharing.Go(func() { crash.Share(ctx) })
		excused = args.Ending == quarantine.Excused
		if excused {
			c.record(requestID, upstream, "crash-excused", "several upstreams died at the same time", map[string]any{"trial": args.Trial})
		} else {
			c.record(requestID, upstream, "crash-report", "the upstream died while it ran the request", map[string]any{"trial": args.Trial})
		}
		klog.InfoS("Upstream died while running a request", "request", requestID, "fingerprint", fingerprint, "upstream", upstream, "trial", args.Trial, "excused", excused)
		// Report to one node more than the holders, since this node may be one of them.
		order, _ := c.decidingNodes(fingerprint, holderCount+1)
		c.report(ctx, slices.Concat(order, own.exported), holderCount+1, &args)
		c.storeQuarantine(ctx, fingerprint)
		return excused
	}
	if own.reserved || len(own.exported) > 0 || args.Ending == quarantine.Survived && c.isBlamed(fingerprint) {
		order := c.holdersOf(fingerprint, own)
		if !own.reserved || own.trial {
			// This node may have stored the suspicion although it is not a holder.
			c.callLocal(&args, nil)
		}
		go c.report(ctx, slices.Concat(order, own.exported), holderCount, &args)
	}
	return false
}

// report sends a report to the nodes, and then to the holders that replace nodes that did not answer.
func (c *Controller) report(ctx context.Context, nodes []string, n int, args *ReportArgs) {
	reported := map[string]bool{}
	for range candidateCount {
		var group sync.WaitGroup
		for _, node := range nodes {
			if !reported[node] {
				reported[node] = true
				group.Go(func() { c.call(ctx, node, "Report", args, &struct{}{}) })
			}
		}
		group.Wait()
		// The order no longer contains nodes that did not answer.
		nodes, _ = c.decidingNodes(args.Fingerprint, n)
		if !slices.ContainsFunc(nodes, func(node string) bool { return !reported[node] }) {
			return
		}
	}
}

// endRun completes the report of a run and removes the run from runs. It stores a crash in the table under the same lock,
// so that a Recall call always finds either the run or the crash.
func (c *Controller) endRun(args *ReportArgs, works failed.Works, upstream string) (own run, crash failedruns.Crash) {
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
		if crash = c.failedRuns.Crashed(works, upstream, own.began, quarantine.SettleTime); crash.LostTogether {
			args.Ending = quarantine.Excused
		}
		c.recordEnd(args, now)
	}
	return own, crash
}
