package quarantine

import (
	"context"
	"fmt"
	"slices"
	"time"

	failed "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/quarantine"
)

// reviewInterval is the least time between two reviews of the reservation of a fingerprint.
const reviewInterval = time.Second

// reservation returns the name of a request's reservation: the one that the request already holds, since a suspect item
// is checked again when it has an upstream to itself, or otherwise a new one.
func (c *Controller) reservation(requestID string) string {
	if own, ok := c.runs.Get(requestID); ok {
		return own.reservation
	}
	return fmt.Sprintf("%s#%d", requestID, c.reservationCount.Add(1))
}

// abandonReservation ends the reservation, if any, of a request that was refused or has to wait, or whose context ended.
func (c *Controller) abandonReservation(ctx context.Context, fingerprint, request string) {
	if c.runs.Contains(request) {
		c.ReportRun(ctx, failed.Works{Request: fingerprint}, request, "", false)
	}
}

// cancelReservation ends, in the background, a reservation under which nothing runs at the nodes that may have granted it.
// The reservation must not be used again.
func (c *Controller) cancelReservation(ctx context.Context, nodes []string, a CheckArgs) {
	report := ReportArgs{Fingerprint: a.Fingerprint, Request: a.Request, Ending: quarantine.NotRun}
	for _, node := range nodes {
		go c.call(context.WithoutCancel(ctx), node, "Report", &report, &struct{}{})
	}
}

// recordLearned records that a node learned, or may have learned, of the reservation by a Check call, so that its end is
// reported to it.
func (c *Controller) recordLearned(node string, a CheckArgs) {
	c.mu.Lock()
	r, ok := c.runs.Peek(requestOf(a.Request))
	inProgress := ok && r.reservation == a.Request
	if inProgress {
		r.exported = append(slices.Clone(r.exported), node)
		c.runs.Add(requestOf(a.Request), r)
	}
	c.mu.Unlock()
	if !inProgress {
		c.cancelReservation(context.Background(), []string{node}, a)
	}
}

// reviewReservation asks the node of the run for which equal requests wait whether it still asks for the run or has it in
// progress, and frees the reservation otherwise: the report of its end may have been lost.
func (c *Controller) reviewReservation(fingerprint string) {
	now := time.Now()
	c.mu.Lock()
	held, _ := c.table.Export(fingerprint, now)
	at, _ := c.reviewedAt.Get(fingerprint)
	c.mu.Unlock()
	node := nodeOf(held.Runner)
	if node == "" || now.Sub(at) < reviewInterval {
		return
	}
	c.reviewedAt.Add(fingerprint, now)
	ctx, stop := context.WithTimeout(context.Background(), c.Timeouts.Recall)
	defer stop()
	var reply RecallReply
	if !c.call(ctx, node, "Recall", &RecallArgs{fingerprint, c.Self}, &reply) || slices.Contains(reply.Checks, held.Runner) ||
		slices.ContainsFunc(reply.Records, func(r quarantine.Record) bool { return r.Runner == held.Runner }) {
		return
	}
	// The records come first, since the run may have ended with a crash.
	c.mergeRecords(reply.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.End(quarantine.Run{Fingerprint: fingerprint, Request: held.Runner, Ending: quarantine.NotRun}, now)
	c.wakeChecks(fingerprint)
}

// ownRecords returns records of the runs of a fingerprint that this node has in progress.
func (c *Controller) ownRecords(fingerprint string) []quarantine.Record {
	return c.reservations(func(r run) bool { return r.fingerprint == fingerprint }, time.Now())
}

// reservations returns records of this node's own runs that match and have an unexpired reservation.
func (c *Controller) reservations(match func(run) bool, now time.Time) []quarantine.Record {
	var list []quarantine.Record
	for _, request := range c.runs.Keys() {
		if r, ok := c.runs.Peek(request); ok && r.reserved && match(r) {
			if record := quarantine.Reservation(r.fingerprint, r.reservation, r.trial, r.began, now); record.Wait > 0 {
				list = append(list, record)
			}
		}
	}
	return list
}
