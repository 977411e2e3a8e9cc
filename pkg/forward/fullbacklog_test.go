package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
)

// Guards against a stream that leaves a stopped upstream whose queue of connections is full, so that no node connects to it.
func TestStreamStaysAtStoppedUpstreamWithFullBacklog(t *testing.T) {
	stops := stopsOnce(3, func(f *fixture, name string) {
		f.processes[name].stop()
		time.AfterFunc(soundSilence, f.processes[name].resume)
	})
	var full atomic.Value
	f := newLinkedFixture(t, &uplink.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if a, _ := full.Load().(string); a == address {
			<-ctx.Done() // The kernel drops the SYN.
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}, make([]string, 2), stops, stops)
	go func() {
		for len(f.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		full.Store(f.upstreams[f.requests()[0].upstream].Listener.Addr().String())
	}()
	_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
	assert.NilError(t, err)
	assert.Equal(t, body, allEvents())
	assert.Equal(t, len(f.requests()), 1, "the stream went on elsewhere: %v", f.requests())
}
