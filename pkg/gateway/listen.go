package gateway

import (
	"net/http"
	"time"
)

// Limits of the callers' listener.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 64 << 10
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
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// AnswersUntil returns when the last address answer that this node gave runs out.
func (g *Gateway) AnswersUntil() time.Time { return time.Unix(0, g.answersUntil.Load()) }
