package forward

import (
	"maps"
	"net/http"
	"strings"
)

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of the headers without those that apply to a single connection.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
