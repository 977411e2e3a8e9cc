package forward

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stream that the node continues at an upstream of another software version, and against one that is
// given up although an upstream of its version is left.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for range 10 {
		f := newVersionFixture(t, []string{"v1", "v2", "v1", "v2"}, breaksOnce, breaksOnce, breaksOnce, breaksOnce)
		_, body, err := f.call(t, "/stream/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, body, allEvents())
		sends := f.requests()
		assert.Equal(t, len(sends), 2)
		assert.Equal(t, sends[0].upstream[1]%2, sends[1].upstream[1]%2, "%s, %s", sends[0].upstream, sends[1].upstream)
	}
	f := newVersionFixture(t, []string{"v1", "v2"}, breaksOnce, breaksOnce)
	_, _, err := f.call(t, "/stream/a", "prompt")
	assert.Assert(t, err != nil, "no upstream of the version was left")
	assert.Equal(t, len(f.requests()), 1)
}

// Guards against a stream that a caller takes up and that continues at another software version than the one that began it,
// or at any if it is not known which one that was.
func TestResumedStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	resume := func(f *fixture, stream string) (*http.Response, string) {
		resp, body, err := f.callWith(t, "/stream/a", "prompt", map[string]string{testHeaders.Resumes: stream, testHeaders.LastEventID: "3"})
		assert.NilError(t, err)
		return resp, body
	}
	rest := allEvents()[strings.Index(allEvents(), "id: 4"):]
	f := newVersionFixture(t, []string{"v1", "v2", "v1"}, streamsAll, streamsAll, streamsAll)
	f.streams.Began("begun", "s", "v2", "")
	for range 10 {
		resp, body := resume(f, "begun")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, rest)
	}
	for _, r := range f.requests() {
		assert.Equal(t, r.upstream, "u1")
	}
	f.streams.Began("ended", "s", "v3", "")
	for _, stream := range []string{"ended", "unknown", ""} {
		resp, _ := resume(f, stream)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, stream)
	}
	assert.Equal(t, len(f.requests()), 10)
	f = newVersionFixture(t, []string{"v1"}, streamsAll)
	_, _, err := f.call(t, "/stream/a", "prompt")
	assert.NilError(t, err)
	resp, body := resume(f, "r1")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, rest)
}
