package gateway

import (
	"net/http"
	"time"
)

// Limits of the callers' listener.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
	// readHeaderBytes bounds what is read of a header. It is above MaxHeaderBytes, so that the gateway itself refuses
	// most large headers: the server's own refusal has neither a request id nor an outcome.
	readHeaderBytes = 1 << 20
	// headerTimeout bounds the time in which the header arrives; a caller is a few milliseconds away.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
)

// NewServer returns a server for callers with the limits of the listener. It has no write timeout, since a
// streamed answer may take as long as its deadline allows. The gateway bounds the time for the body itself.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    readHeaderBytes,
		// The general answer to OPTIONS * has no request id.
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

// AnswersUntil returns when the last address answer that this node gave runs out.
func (g *Gateway) AnswersUntil() time.Time { return time.Unix(0, g.answersUntil.Load()) }
