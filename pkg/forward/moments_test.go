package forward

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
)

// Guards against a stream that goes on elsewhere because its upstream, which is short of processor time, ran for a moment, or because
// this node read late what the upstream had sent before it stopped: the upstream ends the stream only when it runs again.
func TestStreamStaysAtUpstreamThatRunsForAMoment(t *testing.T) {
	const firstMoment, moment = 100 * time.Millisecond, 70 * time.Millisecond
	body, upstreams := streamBesideData(t, firstMoment, moment)
	assert.Equal(t, body, allEvents())
	assert.DeepEqual(t, upstreams, []string{"u0"})
}

// Guards against a stream that waits for an upstream which is silent on this stream only, and runs without a pause.
func TestStreamLeavesUpstreamThatRunsOn(t *testing.T) {
	body, upstreams := streamBesideData(t, 0, soundSilence)
	assert.Equal(t, body, allEvents())
	assert.DeepEqual(t, upstreams, []string{"u0", "u1"})
}

// streamBesideData returns the body and the upstreams of a stream whose first upstream, u0, falls silent on it for soundSilence, and sends
// other data from a time after its last event on for some time.
func streamBesideData(t *testing.T, from, length time.Duration) (body string, upstreams []string) {
	const (
		events = 3
		other  = "/other"
	)
	silent, ended := make(chan struct{}), make(chan struct{})
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
		time.Sleep(from)
		for begun := time.Now(); time.Since(begun) < length; time.Sleep(5 * time.Millisecond) {
			_, _ = w.Write([]byte("data"))
			w.(http.Flusher).Flush()
		}
	}
	f := newLinkedFixture(t, &uplink.Options{}, make([]string, 2), runs, streamsAll)
	setDraining := func(draining bool) {
		list := slices.Clone(f.list)
		list[1].Draining = draining
		f.placer.SetUpstreams(list)
	}
	setDraining(true)
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
		setDraining(false)
	}()
	_, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Deadline: "2900"})
	assert.NilError(t, err)
	<-ended
	for _, r := range f.requests() {
		if r.target != other {
			upstreams = append(upstreams, r.upstream)
		}
	}
	return body, upstreams
}
