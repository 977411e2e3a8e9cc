package edge

import (
	"context"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/dispatch"
)

// applyUpstreams passes the registered upstreams to placement. It logs each invalid entry once.
func (n *Node) applyUpstreams(objects map[string]store.Object) {
	list, faults := n.platform.Upstreams(objects)
	n.mu.Lock()
	seen := map[string]string{}
	for _, err := range faults {
		text := err.Error()
		seen[text] = text
		if n.invalidEntries[text] == "" {
			n.log.Notice("invalid upstream entry ignored", "error", text)
		}
	}
	n.invalidEntries = seen
	n.mu.Unlock()
	n.streams.Observe(list)
	n.links.SetUpstreams(linkedUpstreams(list))
	n.failedRuns.UpstreamsEnded(n.placer.SetUpstreams(list))
}

// awaitUpstreams waits until the list of upstreams has been read again after a time in which this process did not run: some may have left
// meanwhile.
func (n *Node) awaitUpstreams(ctx context.Context) {
	n.mirror.AwaitConfirmed(ctx, n.platform.UpstreamPrefix())
}

// mayUse reports whether requests may be sent to an upstream now.
func (n *Node) mayUse(ctx context.Context, u dispatch.Upstream) bool {
	n.awaitUpstreams(ctx)
	return n.placer.MayUse(u)
}
