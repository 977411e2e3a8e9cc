package edge

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilplank.example/pkg/wait"
)

// discardLog discards what net/http logs about broken connections; the node logs its own decisions.
var discardLog = stdlog.New(io.Discard, "", 0)

const (
	// retirementInterval is the time between checks for VMs to be emptied; the platform allows some seconds for
	// emptying one.
	retirementInterval = 2 * time.Second
	// lostVMDelay is how long the node of a VM to be emptied must be missing from the live nodes before other nodes
	// report the VM as empty.
	lostVMDelay = 3 * time.Second
)

// watchRetirements empties this node when its VM is to be retired. No lasting data is kept on a VM, so a VM is empty
// once its jobs are handed over. The other nodes report VMs that are already lost.
func (n *Node) watchRetirements(ctx context.Context) error {
	if !n.settings.Retires {
		return nil
	}
	reported := map[string]bool{}
	missingSince := map[string]time.Time{}
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, retirementInterval+rand.N(retirementInterval/4))
		nodes, err := n.platform.Retirements(ctx, n.store)
		if err != nil {
			continue // The store watches log that the store is unavailable.
		}
		for _, node := range nodes {
			if reported[node] || !n.mayReportRetired(node, missingSince) {
				continue
			}
			if node == n.settings.Name && !n.draining.Load() {
				n.log.Notice("VM is to be retired, emptying node", "node", node)
				n.draining.Store(true)
				if err := n.fleet.Drain(ctx); err != nil {
					n.log.Notice("drain could not be registered in the store", "error", err)
				}
				n.jobs.HandOver(ctx)
			}
			if err := n.platform.ReportRetired(ctx, node); err != nil {
				n.log.Notice("emptied node could not be reported, retrying", "node", node, "error", err)
				continue
			}
			reported[node] = true
			n.log.Notice("node reported as emptied", "node", node)
		}
	}
	return ctx.Err()
}

// mayReportRetired reports whether this node may report a VM as empty: its own, or one whose node has been
// missing from the live nodes for longer than lostVMDelay.
func (n *Node) mayReportRetired(node string, missingSince map[string]time.Time) bool {
	if node == n.settings.Name {
		return true
	}
	if slices.Contains(n.fleet.OtherLive(), node) {
		delete(missingSince, node)
		return false
	}
	if missingSince[node].IsZero() {
		missingSince[node] = time.Now()
	}
	return time.Since(missingSince[node]) > lostVMDelay
}
