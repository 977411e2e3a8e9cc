package forward

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
)

// stopThisProcess stops the process of the test for longer than a sound upstream is silent.
func stopThisProcess(t *testing.T) {
	t.Helper()
	wake := exec.Command("sh", "-c", fmt.Sprintf("sleep 2.3; kill -CONT %d", os.Getpid()))
	assert.NilError(t, wake.Start())
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGSTOP))
	_ = wake.Wait()
}

// allow sets the time that requests may take on all routes.
func (f *fixture) allow(timeout time.Duration) {
	routes := f.forwarder.options.Table().Routes
	for i := range routes {
		routes[i].Timeout = timeout
	}
}

// Guards against streams that are given up at sound upstreams since this process itself did not run for two seconds.
func TestOwnGapIsNoSilenceOfTheUpstream(t *testing.T) {
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) { paced(w, r, 60*time.Millisecond) }
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 4), slow, slow, slow, slow)
	f.allow(9 * time.Second) // The gap and the events alone take 2.9 s.
	var calls sync.WaitGroup
	const streams = 8
	for n := range streams {
		calls.Go(func() {
			_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "9000", testHeaders.RequestID: fmt.Sprint("r", n)})
			assert.Check(t, err)
			assert.Check(t, body == allEvents())
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopThisProcess(t)
	calls.Wait()
	assert.Equal(t, len(f.requests()), streams)
}

// Guards against requests that are sent again after such a gap, although their answers have arrived.
func TestOwnGapSendsNoRequestAgain(t *testing.T) {
	behaves := func(_ *fixture, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(w, "answer")
	}
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 4), behaves, behaves, behaves, behaves)
	var calls sync.WaitGroup
	const requests = 8
	for n := range requests {
		calls.Go(func() {
			_, body, err := f.callWith(t, "/idempotent/a", "prompt", map[string]string{testHeaders.Deadline: "9000", testHeaders.RequestID: fmt.Sprint("r", n)})
			assert.Check(t, err)
			assert.Check(t, body == "answer")
		})
	}
	time.Sleep(50 * time.Millisecond)
	stopThisProcess(t)
	calls.Wait()
	assert.Equal(t, len(f.requests()), requests)
}
