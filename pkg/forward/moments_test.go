package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
)

// Guards against a stream that goes on elsewhere because its upstream, which is short of processor time, ran for a moment, or because
// this node read late what the upstream had sent before it stopped: the upstream ends the stream only when it runs again.
func TestStreamStaysAtUpstreamThatRunsForAMoment(t *testing.T) {
	const (
		events = 3
		// firstMoment is when the upstream runs again after the last event, moment for how long.
		firstMoment, moment = 100 * time.Millisecond, 70 * time.Millisecond
		other               = "/other"
	)
	silent := make(chan struct{})
	runs := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		if r.RequestURI != other {
			stream(w, r, events)
			r.Header.Set(testHeaders.LastEventID, "2")
			close(silent)
			time.Sleep(soundSilence)
			stream(w, r, 10)
			return
		}
		<-silent
		time.Sleep(firstMoment)
		for begun := time.Now(); time.Since(begun) < moment; time.Sleep(5 * time.Millisecond) {
			_, _ = w.Write([]byte("data"))
			w.(http.Flusher).Flush()
		}
		time.Sleep(soundSilence)
	}
	moves := func(_ *fixture, w http.ResponseWriter, r *http.Request) { stream(w, r, 10) }
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 2), runs, moves)
	f.list[1].Draining = true
	f.placer.SetUpstreams(f.list)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := f.links.HTTPClient().Get("http://" + f.list[0].Address + other)
		if assert.Check(t, err); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Check(t, err)
			resp.Body.Close()
		}
	}()
	go func() {
		<-silent
		f.list[1].Draining = false
		f.placer.SetUpstreams(f.list)
	}()
	_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
	assert.NilError(t, err)
	assert.Equal(t, body, allEvents())
	<-ended
	for _, r := range f.requests() {
		assert.Assert(t, r.upstream == "u0", "the stream went on elsewhere: %v", f.requests())
	}
}
