package edge

import "net/http"

// awaitConfiguration delays requests until the configuration has been read again after a time in which this process did not run: the
// handlers of requests and jobs take limits, routes and services from it.
func (n *Node) awaitConfiguration(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mirror.AwaitConfirmed(r.Context(), n.platform.ConfigPrefix())
		h.ServeHTTP(w, r)
	})
}
