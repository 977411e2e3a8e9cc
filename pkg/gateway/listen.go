package gateway

import (
	"net/http"
	"time"
)

// Limits of the listener for callers.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
	// readHeaderBytes bounds what net/http reads of a header. It is above MaxHeaderBytes, so that the gateway itself
	// refuses most large headers: the refusal of net/http has neither a request ID nor an outcome.
	readHeaderBytes = 1 << 20
	// headerTimeout bounds the time to receive the header; callers are a few milliseconds away.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
)

// NewServer returns an HTTP server for callers with the limits above. It has no write timeout, since a streamed answer
// may take until the deadline of its request. The gateway itself bounds the time to receive a body.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    readHeaderBytes,
		// The answer of net/http to OPTIONS * has no request ID.
		DisableGeneralOptionsHandler: true,
	}
}

// headerBytes returns the size of the request line and header as sent in HTTP/1.1, without the Host line.
func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}

// AddressesValidUntil returns when the last answer to GET /v1/addresses that this node gave expires.
func (g *Gateway) AddressesValidUntil() time.Time { return time.Unix(0, g.addressesValidUntil.Load()) }
