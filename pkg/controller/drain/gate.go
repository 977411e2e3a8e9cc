package drain

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
)

// ErrEnded is the cause with which the contexts of requests end that are in progress when the time of a drain is over.
var ErrEnded = errors.New("the node stops")

// Ended reports whether a request's context has ended because the time of a drain is over, and not because its caller has left.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }

// closedBit is set in the state of a gate that is closed; the other bits count the requests in progress.
const closedBit = int64(1) << 62

// Gate counts the requests in progress. Once closed, it lets no new one in. It is safe for concurrent use.
type Gate struct {
	state atomic.Int64
	ctx   context.Context
	end   context.CancelCauseFunc
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{}
	g.ctx, g.end = context.WithCancelCause(context.Background())
	return g
}

// Enter counts a request. It returns false if the gate is closed; Leave must be called otherwise.
func (g *Gate) Enter() bool {
	for {
		state := g.state.Load()
		if state&closedBit != 0 {
			return false
		}
		if g.state.CompareAndSwap(state, state+1) {
			return true
		}
	}
}

// Leave ends the count of a request.
func (g *Gate) Leave() { g.state.Add(-1) }

// Active returns the number of requests in progress.
func (g *Gate) Active() int64 { return g.state.Load() &^ closedBit }

// Close closes the gate.
func (g *Gate) Close() { g.state.Or(closedBit) }

// CloseIfIdle closes the gate if no request is in progress, and reports whether it is closed.
func (g *Gate) CloseIfIdle() bool {
	return g.state.CompareAndSwap(0, closedBit) || g.state.Load()&closedBit != 0
}

// Context is the parent of the contexts of requests. It ends with End.
func (g *Gate) Context() context.Context { return g.ctx }

// End ends the contexts of all requests with ErrEnded.
func (g *Gate) End() { g.end(ErrEnded) }

// Handler passes requests to next while the gate is open, and to refuse once it is closed.
func (g *Gate) Handler(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.Enter() {
			refuse.ServeHTTP(w, r)
			return
		}
		defer g.Leave()
		next.ServeHTTP(w, r)
	})
}
