package failedruns

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// spreadRetry is the pause after which nodes that did not answer are told again, and spreadCalls the number of nodes that
	// are told at the same time.
	spreadRetry, spreadCalls = 500 * time.Millisecond, 16
)

// spread tells how far each other node has the changes of this one, where there is no hub.
type spread struct {
	changed chan struct{}
	// sent holds the revisions by node. It is used by runSpread only.
	sent map[string]int64
}

func newSpread() spread { return spread{make(chan struct{}, 1), map[string]int64{}} }

func (s *spread) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// runSpread sends the changes that were made here to all other nodes until ctx ends. Changes are rare: each follows the crash
// of an upstream.
func (c *Controller) runSpread(ctx context.Context) {
	for ctx.Err() == nil {
		var due <-chan time.Time
		if !c.spreadChanges(ctx) {
			due = time.After(spreadRetry)
		}
		select {
		case <-ctx.Done():
		case <-due:
		case <-c.spread.changed:
		}
	}
}

// spreadChanges sends each other node the changes that it lacks, and reports whether all live nodes have them.
func (c *Controller) spreadChanges(ctx context.Context) bool {
	others := c.options.Others()
	reached := make([]int64, len(others))
	group := errgroup.Group{}
	group.SetLimit(spreadCalls)
	for n, node := range others {
		group.Go(func() (err error) {
			reached[n], err = c.spreadTo(ctx, node, c.spread.sent[node])
			return err
		})
	}
	err := group.Wait()
	sent := make(map[string]int64, len(others))
	for n, node := range others {
		sent[node] = reached[n]
	}
	c.spread.sent = sent
	if err != nil {
		c.options.Log.Routine("node not told of failed runs, retrying", "error", err)
	}
	return err == nil
}

// spreadTo sends a node the changes after a revision, and returns the revision up to which the node has them.
func (c *Controller) spreadTo(ctx context.Context, node string, from int64) (int64, error) {
	for {
		c.mu.Lock()
		records, upTo := c.ledger.OwnSince(from, exchangeRecords, time.Now())
		c.mu.Unlock()
		if len(records) == 0 {
			return upTo, nil
		}
		if err := c.tell(ctx, node, AddArgs{From: c.options.peerID(), Records: records}); err != nil {
			return from, err
		}
		from = upTo
	}
}
