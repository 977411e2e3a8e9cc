package uplink

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
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

// Guards against a connect that counts as failed since this process did not run for less than half a second while the upstream's kernel
// answered: runs at a stopped upstream then go on elsewhere.
func TestConnectOutlastsShortOwnGap(t *testing.T) {
	upstreams := startUpstreams(t, 1, func(http.ResponseWriter, *http.Request) {})
	var mu sync.Mutex
	dials, failed := 0, 0
	l := New(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		stop := exec.Command("sh", "-c", fmt.Sprintf("kill -STOP %d; sleep 0.2; echo; sleep 0.15; kill -CONT %[1]d", os.Getpid()))
		out, err := stop.StdoutPipe()
		assert.Check(t, err)
		answered := make(chan struct{})
		assert.Check(t, stop.Start())
		go func() {
			_, _ = bufio.NewReader(out).ReadString('\n') // The upstream's kernel answers.
			close(answered)
			_ = stop.Wait()
		}()
		mu.Lock()
		dials++
		mu.Unlock()
		select {
		case <-answered:
			return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
		case <-ctx.Done():
			mu.Lock()
			failed++
			mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}})
	l.SetUpstreams(upstreams)
	const checks = 10
	for range checks {
		conn, err := l.connect(t.Context(), "tcp", upstreams[0].Address)
		assert.Check(t, err)
		if err == nil {
			_ = conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, !l.state.Failing(upstreams[0].Address, time.Now()))
	assert.Equal(t, failed, 0, "of %d connects", dials)
}
