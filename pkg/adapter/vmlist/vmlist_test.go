package vmlist_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/vmlist"
	"trefoilplank.example/pkg/blackboard"
)

type cannedResponse struct {
	status int
	body   string
}

// fakeTransport is a transport that answers every request with the response that it points to.
type fakeTransport struct{ atomic.Pointer[cannedResponse] }

func (f *fakeTransport) RoundTrip(*http.Request) (*http.Response, error) {
	response := f.Load()
	return &http.Response{StatusCode: response.status, Body: io.NopCloser(strings.NewReader(response.body))}, nil
}

// TestPoller guards against a failed read (status 503 or truncated JSON) that clears the list on the board, and
// against VMs with an unknown state reaching the board.
func TestPoller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		board := blackboard.New()
		transport := &fakeTransport{}
		transport.Store(&cannedResponse{200, `[{"name":"a","state":"live"},{"name":"b","state":"lost"},{"name":"c","state":"odd"}]`})
		go vmlist.New("127.0.0.1:1", board, transport).Run(ctx)
		synctest.Wait()
		want := map[string]blackboard.VMState{"a": blackboard.VMLive, "b": blackboard.VMLost}
		assert.DeepEqual(t, board.VMs.Value(), want)
		for _, bad := range []cannedResponse{{503, ""}, {200, "[{"}} {
			transport.Store(&bad)
			time.Sleep(time.Minute)
			assert.DeepEqual(t, board.VMs.Value(), want)
		}
		transport.Store(&cannedResponse{200, `[{"name":"a","state":"leaving"}]`})
		time.Sleep(time.Minute)
		assert.DeepEqual(t, board.VMs.Value(), map[string]blackboard.VMState{"a": blackboard.VMLeaving})
	})
}
