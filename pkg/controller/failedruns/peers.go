package failedruns

import (
	"context"
	"fmt"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/wait"
)

// share sends records to some of the other nodes and waits, at most shareTimeout, until they have them and have answered
// with what they know of the same work.
func (c *Controller) share(ctx context.Context, records []failedruns.Record) {
	others := c.options.Others()
	var calls sync.WaitGroup
	for _, node := range others[:min(holders, len(others))] {
		calls.Go(func() {
			if err := c.tell(ctx, node, AddArgs{From: c.options.peerID(), Records: records}); err != nil {
				c.options.Log.Notice("node not told of failed runs", "member", node, "runs", len(records), "error", err)
			}
		})
	}
	calls.Wait()
}

// tell sends records to a node and merges its answer.
func (c *Controller) tell(ctx context.Context, node string, args AddArgs) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var reply AddReply
	if err := c.options.Peers.Call(ctx, node, "FailedRuns.Add", args, &reply); err != nil {
		return err
	}
	c.Merge(node, reply.Records)
	return nil
}

// readOthers reads the records of other nodes after the start of this one, which they may take for lost at first.
func (c *Controller) readOthers(ctx context.Context) {
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; _ = wait.Sleep(ctx, startRetry) {
		read := 0
		for _, node := range c.options.Others() {
			err := c.tell(ctx, node, AddArgs{From: c.options.peerID(), All: true})
			c.options.Log.Routine("read failed runs of another node", "member", node, "error", err)
			if err == nil {
				read++
			}
			if read == holders {
				return
			}
		}
		if read > 0 {
			return
		}
	}
}

// peerID identifies the process of this node as the source of records.
func (o *Options) peerID() string { return PeerID(o.Node, o.Incarnation) }

// PeerID identifies the process of a node as the source of records.
func PeerID(node string, incarnation int64) string { return fmt.Sprintf("%s/%x", node, incarnation) }

// Merge adds the records of another node.
func (c *Controller) Merge(from string, records []failedruns.Record) {
	if c == nil || len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.ledger.Merge(records, from, time.Now()) {
		if r.Kind == failedruns.Suspected {
			continue
		}
		c.options.Log.Routine("failed run learned", "work", r.Work, "run", r.Run, "upstream", r.Upstream, "age_ms", r.Age.Milliseconds(),
			"cleared", r.Cleared, "from", from)
		if r.Kind == failedruns.Crashed && !r.Cleared && c.survivedHere(r) {
			c.options.Log.Routine("crash no longer counts", "fingerprint", r.Work, "upstream", r.Upstream, "reason", "request was run here without a crash")
			r.Cleared = true
			c.ledger.Merge([]failedruns.Record{r}, "", time.Now())
		}
		c.logQuarantine(r.Work)
	}
	c.updated()
}

// Since returns the records that changed after a revision of this node's ledger, without those that the process to came
// with itself, and the revision that they lead to.
func (c *Controller) Since(revision int64, to string) ([]failedruns.Record, int64) {
	if c == nil {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Since(revision, to, exchangeRecords, time.Now())
}

// Receiver returns the net/rpc receiver "FailedRuns".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Receiver is the net/rpc receiver "FailedRuns".
type Receiver struct{ c *Controller }

// AddArgs carries records of another node; From identifies its process. All asks for all records in place of those of the
// same work.
type AddArgs struct {
	From    string
	Records []failedruns.Record
	All     bool
}

// AddReply holds the callee's records of the same work, or all.
type AddReply struct{ Records []failedruns.Record }

// TrialArgs asks for a trial of a quarantined request.
type TrialArgs struct{ Fingerprint string }

// TrialReply tells whether the caller may run the request once.
type TrialReply struct{ Granted bool }

// Trial grants a trial of a request, as the node that Options.Owner names.
func (r *Receiver) Trial(args TrialArgs, reply *TrialReply) error {
	reply.Granted = r.c.grantTrial(args.Fingerprint)
	return nil
}

// Add adds the records of another node.
func (r *Receiver) Add(args AddArgs, reply *AddReply) error {
	r.c.Merge(args.From, args.Records)
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	now := time.Now()
	if args.All {
		reply.Records, _ = r.c.ledger.Since(0, "", startRecords, now)
		return nil
	}
	asked := map[string]bool{}
	for _, record := range args.Records {
		if !asked[record.Work] {
			asked[record.Work] = true
			reply.Records = append(reply.Records, r.c.ledger.Of(record.Work, now)...)
		}
	}
	return nil
}
