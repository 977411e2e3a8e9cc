package admission

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// BenchmarkPlaceAtTarget measures how long one of 380 nodes takes to choose an upstream for a prompt of 32 blocks
// when the loads of all upstreams are known. At the two-year capacity target, 500 upstreams serve one model.
func BenchmarkPlaceAtTarget(b *testing.B) {
	for _, upstreams := range []int{12, 500} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			n := cluster(b, 1, engines(upstreams), nil)
			node := n.nodes["n0"]
			live := map[string]blackboard.Member{"n0": {}}
			for i := range 380 {
				live[fmt.Sprint("n", i)] = blackboard.Member{}
			}
			node.board.Members.Set(blackboard.Members{Self: "n0", Live: live})
			r := request("r")
			for i := range uint64(32) {
				r.PrefixHashes = append(r.PrefixHashes, i)
			}
			for i := range upstreams {
				node.c.storeLoads([]Load{{Upstream: fmt.Sprint("e", i), Limit: 8, Online: i % 8, Hold: time.Second}})
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(node.c.rankUpstreams(r, nil)) == 0 {
					b.Fatal("no upstream")
				}
			}
		})
	}
}

// Guards against a receiver that net/rpc rejects and against message types that gob cannot encode: a slot is
// acquired and released over a real net/rpc connection.
func TestServiceOverNetRPC(t *testing.T) {
	n := cluster(t, 1, engines(1), nil)
	srv := rpc.NewServer()
	assert.NilError(t, srv.RegisterName("Admission", &Service{n.nodes["n0"].c}))
	a, b := net.Pipe()
	go srv.ServeConn(a)
	client := rpc.NewClient(b)
	defer func() { _ = client.Close() }()
	w := workOf(request("r"), "t1", time.Now())
	var reply AcquireReply
	assert.NilError(t, client.Call("Admission.Acquire", &AcquireArgs{Upstream: "e0", Node: "n9", Work: w, MaxWait: time.Second, PrefixHashes: []uint64{1}}, &reply))
	assert.Equal(t, reply.Status, StatusGranted)
	var load LoadReply
	held := []HeldSlot{{Upstream: "e0", Work: w}}
	assert.NilError(t, client.Call("Admission.Load", &LoadArgs{Node: "n9", Held: held}, &load))
	assert.Equal(t, load.Loads[0].Online, 1)
	usage := serving.Usage{Result: serving.RunOK, Duration: time.Second}
	var released ReleaseReply
	assert.NilError(t, client.Call("Admission.Release", &ReleaseArgs{Upstream: "e0", Node: "n9", Work: w, Usage: usage}, &released))
	assert.Equal(t, released.Loads[0].Online, 0)
	var waited AcquireReply
	assert.NilError(t, client.Call("Admission.Wait", &WaitArgs{Upstream: "e0", Node: "n9", Ticket: "t1"}, &waited))
	assert.Equal(t, waited.Status, StatusUnknown)
}

// BenchmarkSyncAtTarget measures the periodic passes of a node with 1,500 upstreams and 380 members. "all" runs when
// members or configuration change and every second; "owned" runs when only observations change.
func BenchmarkSyncAtTarget(b *testing.B) {
	n := cluster(b, 1, engines(1500), nil)
	node := n.nodes["n0"]
	live := map[string]blackboard.Member{"n0": {}}
	for i := range 380 {
		live[fmt.Sprint("n", i)] = blackboard.Member{}
	}
	node.board.Members.Set(blackboard.Members{Self: "n0", Live: live})
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			node.c.sync(ctx)
		}
	})
	b.Run("owned", func(b *testing.B) {
		for b.Loop() {
			node.c.syncOwned(ctx)
		}
	})
}
