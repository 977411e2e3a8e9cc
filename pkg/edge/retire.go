package edge

import (
	"context"
	"io"
	stdlog "log"
	"maps"
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
	// hubRetirementInterval is that between checks of what the hub's answers say, which cost no call to the store.
	hubRetirementInterval = 300 * time.Millisecond
	// lostVMDelay is how long the node of a VM to be emptied must be missing from the live nodes before other nodes
	// report the VM as empty.
	lostVMDelay = 3 * time.Second
)

// retiringNodes returns the nodes on VMs to be emptied, from the hub's last answer if the hub reads them for all nodes, else
// from the store. It returns false if they can't be read, or this node need not know them.
func (n *Node) retiringNodes(ctx context.Context) ([]string, bool) {
	if n.exchange.HubSweeps() {
		return n.exchange.Retiring(), n.settings.Retires
	}
	if !n.settings.Retires && !n.exchange.IsHub() {
		return nil, false
	}
	nodes, err := n.platform.Retirements(ctx, n.store)
	if err != nil {
		return nil, false // The store watches log that the store is unavailable.
	}
	n.retiring.Store(&nodes)
	return nodes, n.settings.Retires
}

// knownRetiring returns the nodes on VMs to be emptied that this node last read from the store, for the answers of the hub.
func (n *Node) knownRetiring() []string {
	if nodes := n.retiring.Load(); nodes != nil {
		return *nodes
	}
	return nil
}

// watchRetirements empties this node when its VM is to be retired. No lasting data is kept on a VM, so a VM is empty
// once its jobs are handed over. The other nodes report VMs that are already lost.
func (n *Node) watchRetirements(ctx context.Context) error {
	reported := map[string]bool{}
	missingSince := map[string]time.Time{}
	for ctx.Err() == nil {
		interval := retirementInterval
		if n.exchange.HubSweeps() {
			interval = hubRetirementInterval
		}
		_ = wait.Sleep(ctx, interval+rand.N(interval/4))
		nodes, ok := n.retiringNodes(ctx)
		if !ok {
			continue
		}
		// A VM that is no longer listed may be retired again.
		maps.DeleteFunc(reported, func(node string, _ bool) bool { return !slices.Contains(nodes, node) })
		for _, node := range nodes {
			if reported[node] || !n.mayReportRetired(node, missingSince) {
				continue
			}
			if node == n.settings.Name && !n.emptyForRetirement(ctx) {
				continue
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

// emptyForRetirement stops the service of this node, unless a stop signal has done so, and reports whether it holds neither requests nor jobs any longer.
func (n *Node) emptyForRetirement(ctx context.Context) bool {
	n.log.Notice("VM is to be retired, emptying node", "node", n.settings.Name)
	n.stopServing(ctx, false)
	select {
	case <-n.handedOver:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
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
