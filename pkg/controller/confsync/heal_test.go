package confsync_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// inBubble runs f in a synctest bubble within a benchmark.
func inBubble(f func(t *testing.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		synctest.Test(&testing.T{}, f)
	}()
	<-done
}

// waitFor waits until a condition holds on all nodes, at most for limit, and returns how long that took. minShare is
// the smallest fraction of the nodes on its own side that any node had as live members meanwhile.
func (f *fleet) waitFor(limit time.Duration, side func(string) string, holds func(*node) bool) (took time.Duration, minShare float64) {
	size := map[string]int{}
	for name := range f.nodes {
		size[side(name)]++
	}
	minShare = 1
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		took = time.Since(start)
		all := true
		for name, n := range f.nodes {
			sameSide := 0
			for other := range n.board.Members.Value().Live {
				if side(other) == side(name) {
					sameSide++
				}
			}
			minShare = min(minShare, float64(sameSide)/float64(size[side(name)]))
			all = all && holds(n)
		}
		if all || took >= limit {
			return took, minShare
		}
	}
}

// BenchmarkHeal measures, in virtual time, how long nodes on the other side of a partition stay members (s-out on the
// accepting side, s-out-far on both), and the time from the heal until a configuration that was accepted on one side is
// in force everywhere (s-config) and all nodes are members everywhere (s-members). own-side is the smallest fraction of
// the nodes on its own side that any node had as live members after that configuration was in force. The store is on
// the accepting side.
func BenchmarkHeal(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{8, 4}, {64, 4}, {380, 8}} {
		for _, cutOff := range []string{"halves", "node"} {
			b.Run(fmt.Sprintf("members=%d/%s", size.nodes, cutOff), func(b *testing.B) {
				figures := map[string]float64{}
				for b.Loop() {
					inBubble(func(t *testing.T) { measureHeal(t, size.nodes, size.zones, cutOff, figures) })
				}
				for name, v := range figures {
					b.ReportMetric(v, name)
				}
			})
		}
	}
}

// measureHeal runs one partition and its heal, and sets figures by metric name.
func measureHeal(t *testing.T, nodes, zones int, cutOff string, figures map[string]float64) {
	f := newFleet(t, 0, 0)
	defer f.stopAll()
	for i := range nodes {
		f.start(fmt.Sprintf("z%d-%03d", i%zones, i/zones))
	}
	time.Sleep(20 * time.Second)
	far := func(name string) bool { return name == "z0-001" }
	if cutOff == "halves" {
		far = func(name string) bool { return strings.Compare(name, fmt.Sprint("z", zones/2)) < 0 }
	}
	side := func(name string) string { return fmt.Sprint(far(name)) }
	sizes := map[string]int{}
	for name := range f.nodes {
		sizes[side(name)]++
	}
	f.network.SetPartition(func(from, to string) bool { return side(from) != side(to) })
	isolated := func(n *node) bool { return len(n.board.Members.Value().Live) == sizes[side(n.name)] }
	out, _ := f.waitFor(2*time.Minute, side, func(n *node) bool { return far(n.name) || isolated(n) })
	outFar, _ := f.waitFor(2*time.Minute, side, isolated)
	figures["s-out"], figures["s-out-far"] = out.Seconds(), (out + outFar).Seconds()
	time.Sleep(time.Minute)
	if _, err := f.apply(fmt.Sprintf("z%d-000", zones-1), newChange("cut", "", 0)); err != nil {
		panic(err)
	}
	f.network.SetPartition(nil)
	calls := f.network.Calls.Load()
	configured, _ := f.waitFor(2*time.Minute, side, func(n *node) bool { return n.InForce() == 1 })
	figures["s-config"] = configured.Seconds()
	agreed, minShare := f.waitFor(2*time.Minute, side, func(n *node) bool { return len(n.board.Members.Value().Live) == nodes })
	figures["s-members"], figures["own-side"] = (configured + agreed).Seconds(), minShare
	figures["calls/node"] = float64(f.network.Calls.Load()-calls) / float64(nodes)
}
