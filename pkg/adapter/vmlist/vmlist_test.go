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

type answer struct {
	status int
	body   string
}

// list answers with what it points to.
type list struct{ atomic.Pointer[answer] }

func (l *list) RoundTrip(*http.Request) (*http.Response, error) {
	a := l.Load()
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// TestPoller guards against a failed read that empties the list, and against states that nobody handles.
func TestPoller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		board := blackboard.New()
		a := &list{}
		a.Store(&answer{200, `[{"name":"a","state":"live"},{"name":"b","state":"lost"},{"name":"c","state":"odd"}]`})
		go vmlist.New("127.0.0.1:1", board, a).Run(ctx)
		synctest.Wait()
		want := map[string]blackboard.VMState{"a": blackboard.VMLive, "b": blackboard.VMLost}
		assert.DeepEqual(t, board.VMs.Value(), want)
		for _, bad := range []answer{{503, ""}, {200, "[{"}} {
			a.Store(&bad)
			time.Sleep(time.Minute)
			assert.DeepEqual(t, board.VMs.Value(), want)
		}
		a.Store(&answer{200, `[{"name":"a","state":"leaving"}]`})
		time.Sleep(time.Minute)
		assert.DeepEqual(t, board.VMs.Value(), map[string]blackboard.VMState{"a": blackboard.VMLeaving})
	})
}
