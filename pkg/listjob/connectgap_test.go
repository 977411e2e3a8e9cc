package listjob

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/forward"
)

// Guards against an item of an ended job that is sent because its node was stopped after it had checked the job, while it connected, and goes
// on before it learns of the end.
func TestItemWhoseNodeIsStoppedDuringAConnectIsNotSent(t *testing.T) {
	s, n, own := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	other := n.addNode(t, s, newEngine(t, 3, time.Millisecond), "a", "b")
	owner := n.addNode(t, s, own, "b", "a")
	time.Sleep(300 * time.Millisecond)
	var connecting atomic.Int64
	connected := make(chan struct{})
	release := sync.OnceFunc(func() { close(connected) })
	t.Cleanup(release)
	owner.options.Client = forward.NewClient(testHeaders, uplink.New(uplink.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address) // The kernel connects.
		connecting.Add(1)
		<-connected
		return conn, err
	}}), owner.placer.Announce, nil)
	assert.NilError(t, owner.Accept(context.Background(), submission("j", 1)))
	for until := time.Now().Add(time.Second); connecting.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "no run was started")
	}
	wake := n.freeze("b")
	defer wake()
	begun := time.Now()
	assert.NilError(t, other.End(context.Background(), "j"))
	j := owner.ownedJob("j")
	for owner.ownership().mayRun(j) {
		time.Sleep(5 * time.Millisecond)
		assert.Assert(t, time.Since(begun) < 5*time.Second)
	}
	ended := time.Since(begun)
	release()
	time.Sleep(200 * time.Millisecond)
	own.mu.Lock()
	defer own.mu.Unlock()
	assert.Equal(t, own.runs["j-item0"], 0, "the item was sent %v after the end, when its owner would start none", ended)
}
