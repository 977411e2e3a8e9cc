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

// discardLog takes the lines that net/http writes about broken connections; the node logs what it decides itself.
var discardLog = stdlog.New(io.Discard, "", 0)

const (
	// retireEvery is the time between looks for VMs that are to be emptied; the platform gives some seconds for it.
	retireEvery = 2 * time.Second
	// retireSilent is how long a VM that is to be emptied may be silent before others report it as empty.
	retireSilent = 3 * time.Second
)

// watchRetirements empties this node when its VM is to be taken away. Nothing that must last lies on a VM, so a VM is empty
// once its jobs are handed on. VMs that are lost already are reported by the others.
func (n *Node) watchRetirements(ctx context.Context) error {
	if !n.settings.Retires {
		return nil
	}
	done := map[string]bool{}
	silentSince := map[string]time.Time{}
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, retireEvery+rand.N(retireEvery/4))
		nodes, err := n.platform.Retirements(ctx, n.store)
		if err != nil {
			continue // The watches log that the store is away.
		}
		for _, node := range nodes {
			if done[node] || !n.mayRetire(node, silentSince) {
				continue
			}
			if node == n.settings.Name && !n.draining.Load() {
				n.log.Notice("node is to be emptied", "node", node)
				n.draining.Store(true)
				if err := n.fleet.Drain(ctx); err != nil {
					n.log.Notice("drain not told to the store", "error", err)
				}
				n.jobs.HandOver(ctx)
			}
			if err := n.platform.Retired(ctx, node); err != nil {
				n.log.Notice("emptied node not reported yet", "node", node, "error", err)
				continue
			}
			done[node] = true
			n.log.Notice("node reported as emptied", "node", node)
		}
	}
	return ctx.Err()
}

// mayRetire reports whether this node answers for a VM: its own, or one that has been silent for a while.
func (n *Node) mayRetire(node string, silentSince map[string]time.Time) bool {
	if node == n.settings.Name {
		return true
	}
	if slices.Contains(n.fleet.Others(), node) {
		delete(silentSince, node)
		return false
	}
	if silentSince[node].IsZero() {
		silentSince[node] = time.Now()
	}
	return time.Since(silentSince[node]) > retireSilent
}
