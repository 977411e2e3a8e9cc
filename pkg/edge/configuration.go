package edge

import (
	"context"
	"net/http"
	"time"
)

// awaitTable waits until the configuration has been read again after a time in which this process did not run.
func (n *Node) awaitTable(ctx context.Context) {
	n.mirror.AwaitConfirmed(ctx, n.platform.ConfigPrefix())
}

// awaitConfiguration delays requests until the configuration can be relied on: the handlers of requests and jobs take limits, routes and
// services from it.
func (n *Node) awaitConfiguration(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.awaitTable(r.Context())
		h.ServeHTTP(w, r)
	})
}

// keysAge returns the time since this node's copy of the configuration was known to be the store's newest. The mirror does not tell it yet.
func (n *Node) keysAge() time.Duration { return 0 }
