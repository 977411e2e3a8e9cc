package uplink

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/reach"
)

// Guards against an upstream that counts as failing since this process did not run while it connected.
func TestOwnGapIsNoFailureToConnect(t *testing.T) {
	upstreams := startUpstreams(t, 1, func(http.ResponseWriter, *http.Request) {})
	dials := 0
	l := New(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials++; dials > 1 {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		<-ctx.Done()
		time.Sleep(2 * reach.MaxLate) // The process does not run.
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}})
	l.SetUpstreams(upstreams)
	assert.Equal(t, l.Diagnose(t.Context(), upstreams[0].Address), Reached)
	assert.Equal(t, dials, 2)
	assert.Assert(t, !l.state.Failing(upstreams[0].Address, time.Now()))
}
