package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilplank.example/pkg/adapter/vmlist"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/vms"
	"trefoilplank.example/pkg/decision/dissemination"
)

// emptyList is a VM list without entries; it counts reads.
type emptyList struct{ reads atomic.Int64 }

func (l *emptyList) Read(context.Context) (map[string]blackboard.VMState, error) {
	l.reads.Add(1)
	return map[string]blackboard.VMState{}, nil
}

// BenchmarkVMs measures, in virtual time and by the number of nodes in eight zones, the calls and bytes per second with
// which a node that is no relay follows the VM list, the calls that a relay answers and the reads that it makes.
func BenchmarkVMs(b *testing.B) {
	for _, n := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var figures map[string]float64
			for b.Loop() {
				inVirtualTime(func(*testing.T) { figures = measureVMs(b, n) })
			}
			for name, v := range figures {
				b.ReportMetric(v, name)
			}
		})
	}
}

// measureVMs runs the VM list controllers of one zone, which has an eighth of the nodes, and returns the metrics by name.
func measureVMs(b testing.TB, nodes int) map[string]float64 {
	const length = time.Minute
	m, l := newCountingNetwork(), &emptyList{}
	members := testMembers(nodes)
	view := dissemination.ViewOf(members)
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	askingNodes := 0
	for i := 0; i < nodes; i += 8 {
		board := blackboard.New()
		own := members
		own.Self = nodeName(i)
		board.Members.Set(own)
		c := vms.New(vms.Options{Self: nodeName(i), Board: board, Peers: m.caller(nodeName(i)), List: l})
		m.addNode(b, nodeName(i), map[string]any{"VMs": c.Receiver()})
		loops.Go(func() { _ = c.Run(ctx) })
		if view.RelayRank(nodeName(i)) < 0 {
			askingNodes++
		}
	}
	time.Sleep(10 * time.Second)
	calls, size := m.totals(nil)
	reads := l.reads.Load()
	time.Sleep(length)
	calls2, size2 := m.totals(nil)
	reads = l.reads.Load() - reads
	stop()
	loops.Wait()
	askingSeconds := float64(askingNodes) * length.Seconds()
	return map[string]float64{
		"calls/s/node": float64(calls2-calls) / askingSeconds, "B/s/node": float64(size2-size) / askingSeconds,
		"relay-calls/s": float64(calls2-calls) / length.Seconds(), "relay-B/s": float64(size2-size) / length.Seconds(),
		"reads/s/relay": float64(reads) / length.Seconds() / dissemination.RelaysPerZone,
	}
}

// BenchmarkVMList measures the bytes and processor time of one read of the platform's VM list over HTTP on loopback, by
// the number of VMs; the time includes that of the answering side. The target has 1,880 VMs.
func BenchmarkVMList(b *testing.B) {
	for _, n := range []int{140, 630, 1880} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var list []map[string]string
			for i := range n {
				list = append(list, map[string]string{"name": fmt.Sprintf("vm-%04d", i), "state": "live"})
			}
			body, _ := json.Marshal(list)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			var transferred atomic.Int64
			p := vmlist.New(server.Listener.Addr().String(), blackboard.New(), countingTransport(&transferred))
			reads := 0
			used := processorTime()
			for b.Loop() {
				states, err := p.Read(context.Background())
				if err != nil || len(states) != n {
					b.Fatalf("%d VMs, %v", len(states), err)
				}
				reads++
			}
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/float64(reads), "cpu-ns/read")
			b.ReportMetric(float64(transferred.Load())/float64(reads)+2*headerBytes, "B/read")
		})
	}
}
