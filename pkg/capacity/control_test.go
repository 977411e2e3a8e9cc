package capacity_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/controller/confsync"
	leasectl "trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/lease"
)

// controlNode is a node with the controllers of lease, membership and configuration.
type controlNode struct {
	board  *blackboard.Board
	config *confsync.Controller
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// startControlNode starts node i of a fleet in eight zones. The network takes node names as addresses, so that calls need
// no member list to look them up.
func startControlNode(t testing.TB, m *countingNetwork, s *countingStore, i int) *controlNode {
	name := nodeName(i)
	self := lease.Record{
		Name: name, AvailabilityZone: zoneName(i, 8), Region: "region-0", Address: "10.20.30.40:18080", AdminAddress: "10.20.30.40:18081",
		PeerAddress: name, Incarnation: time.Now().UnixNano(),
	}
	n := &controlNode{board: blackboard.New()}
	peers := m.caller(name)
	members := membership.New(membership.Options{Store: s, Board: n.board, Peers: peers, Self: self})
	n.config = confsync.New(s, n.board, peers, name)
	l := leasectl.New(s, n.board, self, lease.Default)
	m.addNode(t, name, map[string]any{"Membership": members.Receiver(), "Config": n.config.Receiver()})
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	for _, run := range []func(context.Context) error{members.Run, n.config.Run, l.Run} {
		n.done.Go(func() { _ = run(ctx) })
	}
	return n
}

// inVirtualTime runs f in a synctest bubble from within a benchmark.
func inVirtualTime(f func(t *testing.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		synctest.Test(&testing.T{}, f)
	}()
	<-done
}

// BenchmarkControlPlane measures the costs of lease, membership and configuration on each node in virtual time: for a
// minute without a change, then for changes one after the other. Bytes are those sent and received. Processor time
// includes both ends of each call, and the in-process network, which stands in for sockets.
func BenchmarkControlPlane(b *testing.B) {
	const quiet, changes = time.Minute, 2
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var figures map[string]float64
			for b.Loop() {
				inVirtualTime(func(t *testing.T) { figures = measureControlPlane(b, nodes, quiet, changes) })
			}
			for name, v := range figures {
				b.ReportMetric(v, name)
			}
		})
	}
}

// measureControlPlane runs a fleet for the quiet time, then makes the changes on it, and returns the metrics by name.
func measureControlPlane(b testing.TB, nodes int, quiet time.Duration, changes int) map[string]float64 {
	figures := map[string]float64{}
	m, s := newCountingNetwork(), newCountingStore(memstore.New())
	before := liveBytes()
	var fleet []*controlNode
	for i := range nodes {
		fleet = append(fleet, startControlNode(b, m, s, i))
	}
	time.Sleep(time.Minute)
	live := 0
	for _, n := range fleet {
		live += len(n.board.Members.Value().Live)
	}
	must(live == nodes*nodes, "not every node sees all nodes as live members")
	figures["B/node"] = (liveBytes() - before) / float64(nodes)

	nodeSeconds := float64(nodes) * quiet.Seconds()
	calls, size := m.totals(nil)
	reads, writes, stored := s.totals("")
	used := processorTime()
	time.Sleep(quiet)
	figures["%core/node"] = 100 * (processorTime() - used).Seconds() / nodeSeconds
	calls2, size2 := m.totals(nil)
	reads2, writes2, stored2 := s.totals("")
	figures["calls/s/node"] = float64(calls2-calls) / nodeSeconds
	figures["B/s/node"] = 2 * float64(size2-size) / nodeSeconds
	figures["reads/s"] = float64(reads2-reads) / quiet.Seconds()
	figures["writes/s/node"] = float64(writes2-writes) / nodeSeconds
	figures["store-B/s/node"] = float64(stored2-stored) / nodeSeconds

	isConfig := func(method string) bool {
		return strings.HasPrefix(method, "Config.") || method == "Membership.Report" || method == "Membership.Push"
	}
	calls, size = m.totals(isConfig)
	reads, writes, _ = s.totals("config")
	cfg := testConfig(20, 20)
	for c := range changes {
		cfg.Rules.Institutions[0].Share = float64(c + 2)
		_, err := fleet[c].config.Apply(context.Background(), newChange(cfg, c))
		must(err == nil, err)
		time.Sleep(10 * time.Second)
	}
	for _, n := range fleet {
		must(n.config.InForce() == int64(changes), "a node does not have the last change in force")
	}
	calls2, size2 = m.totals(isConfig)
	reads2, writes2, _ = s.totals("config")
	figures["calls/change/node"] = float64(calls2-calls) / float64(changes*nodes)
	figures["B/change/node"] = 2 * float64(size2-size) / float64(changes*nodes)
	figures["reads/change"] = float64(reads2-reads) / float64(changes)
	figures["writes/change"] = float64(writes2-writes) / float64(changes)
	for _, n := range fleet {
		n.stop()
	}
	for _, n := range fleet {
		n.done.Wait()
	}
	return figures
}

// must panics with the reason unless ok. It is used in synctest bubbles, where a benchmark's FailNow may not be called.
func must(ok bool, reason any) {
	if !ok {
		panic(reason)
	}
}

// newChange returns the change number i, counted from 0, which replaces version i by cfg.
func newChange(cfg api.Config, i int) config.Change {
	return config.Change{Register: &cfg.Register, Rules: &cfg.Rules, Key: fmt.Sprint("change-", i), Who: "operator", IfMatch: int64(i)}
}

// BenchmarkConfigSize measures the memory of a configuration in force, and the time until a change of one field is in
// force on the accepting node, by the number of upstreams and institutions.
func BenchmarkConfigSize(b *testing.B) {
	for i, n := range upstreamSizes {
		institutions := institutionSizes[i]
		b.Run(fmt.Sprintf("upstreams=%d/institutions=%d", n, institutions), func(b *testing.B) {
			board := blackboard.New()
			m, s := newCountingNetwork(), newCountingStore(memstore.New())
			before := liveBytes()
			c := confsync.New(s, board, m.caller(nodeName(0)), nodeName(0))
			ctx, stop := context.WithCancel(context.Background())
			var done sync.WaitGroup
			done.Go(func() { _ = c.Run(ctx) })
			<-c.Ready()
			cfg := testConfig(n, institutions)
			changes := 0
			apply := func() {
				cfg.Rules.Institutions[0].Share = 1 + float64(changes%100)/100
				_, err := c.Apply(ctx, newChange(cfg, changes))
				assert.NilError(b, err)
				changes++
			}
			for range 5 {
				apply()
			}
			cfg = api.Config{}
			state := liveBytes() - before
			cfg = testConfig(n, institutions)
			used := processorTime()
			from := changes
			for b.Loop() {
				apply()
			}
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/float64(changes-from), "cpu-ns/change")
			b.ReportMetric(state, "B/configuration")
			payload, err := confchain.EncodePayload(cfg)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(payload.JSON)), "JSON-B")
			stop()
			done.Wait()
		})
	}
}

// BenchmarkConfigReceive measures the processor time of a change of one field on the accepting node and one receiving
// node together, by the number of upstreams. The result less that of BenchmarkConfigSize is the time of the receiver.
func BenchmarkConfigReceive(b *testing.B) {
	for i, n := range upstreamSizes {
		b.Run(fmt.Sprintf("upstreams=%d/institutions=%d", n, institutionSizes[i]), func(b *testing.B) {
			m, s := newCountingNetwork(), newCountingStore(memstore.New())
			ctx, stop := context.WithCancel(context.Background())
			var done sync.WaitGroup
			var pair []*confsync.Controller
			for i := range 2 {
				board := blackboard.New()
				members := testMembers(1)
				other := members.Live[nodeName(0)]
				other.Name, other.PeerAddress = nodeName(1), nodeName(1)
				members.Live[nodeName(1)] = other
				members.Self = nodeName(i)
				board.Members.Set(members)
				c := confsync.New(s, board, m.caller(nodeName(i)), nodeName(i))
				m.addNode(b, nodeName(i), map[string]any{"Config": c.Receiver()})
				done.Go(func() { _ = c.Run(ctx) })
				<-c.Ready()
				pair = append(pair, c)
			}
			cfg := testConfig(n, institutionSizes[i])
			changes := 0
			apply := func() {
				cfg.Rules.Institutions[0].Share = 1 + float64(changes%100)/100
				_, err := pair[0].Apply(ctx, newChange(cfg, changes))
				assert.NilError(b, err)
				changes++
				for pair[1].InForce() < int64(changes) {
					time.Sleep(time.Millisecond)
				}
			}
			// Relays begin to watch the configuration after 3 s.
			time.Sleep(4 * time.Second)
			for range 3 {
				apply()
			}
			used, from := processorTime(), changes
			for b.Loop() {
				apply()
			}
			b.ReportMetric(float64((processorTime()-used).Nanoseconds())/float64(changes-from), "cpu-ns/change")
			stop()
			done.Wait()
		})
	}
}
