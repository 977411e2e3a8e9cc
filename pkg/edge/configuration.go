package edge

import (
	"context"
	"net/http"
	"reflect"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/routing"
)

// applyConfiguration puts a configuration in force unless its version is not newer than the current one.
func (n *Node) applyConfiguration(objects map[string]store.Object) {
	n.copyInForce = false
	c, ok, err := n.platform.Configuration(objects)
	if err != nil {
		n.log.Notice("configuration can't be decoded, keeping the one in force", "error", err)
		return
	}
	if !ok {
		return
	}
	old := n.table.Load()
	if old != nil && c.Version <= old.Version {
		n.copyInForce = !n.settings.StrictRevocation || reflect.DeepEqual(c, old.Configuration)
		if !n.copyInForce {
			n.log.Notice("configuration is not newer than the one in force and differs from it", "version", c.Version, "in_force", old.Version)
		}
		return
	}
	table := routing.NewTable(c)
	n.table.Store(table)
	n.copyInForce = true
	n.log.Notice("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "customers", len(c.Customers))
	if table.SharedKeys > 0 {
		n.log.Notice("keys are listed for more than one customer, the first one in the list has them", "version", c.Version, "keys", table.SharedKeys)
	}
}

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
