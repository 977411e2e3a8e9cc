package loadshare

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against loads that a node counts for another upstream, because its index differs from the hub's: after answers that
// were lost, when upstreams come and go, and when it reports to another hub.
func TestIndexedLoadsAreThoseOfTheHub(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hubs := []upstreamIndex{newUpstreamIndex(100), newUpstreamIndex(2_000_000)}
		var node upstreamIndex
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			loads := map[string]dispatch.Load{}
			first := rapid.IntRange(0, 400).Draw(t, "first")
			for n := range rapid.IntRange(0, 20).Draw(t, "upstreams") {
				loads[fmt.Sprint("u", first+n)] = dispatch.Load{Online: rapid.IntRange(0, 9).Draw(t, "online"), Batch: 1}
			}
			hub := &hubs[rapid.IntRange(0, 1).Draw(t, "hub")]
			packed := hub.pack(loads, node.revision)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			// The answer may be handed over in process; neither side may change what the other keeps.
			assert.DeepEqual(t, node.expand(packed), loads)
		}
	})
}

// Guards against answers of the hub that grow again: at 165 upstreams most of 2.6 KB were their names, sent 1,250 times a
// second.
func TestAnswersOfALargeHubAreSmall(t *testing.T) {
	h, reports := largeHub(rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	for _, r := range reports {
		h.handleReport(r, &Totals{}, now)
	}
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	sizes := map[bool]int{}
	for _, indexed := range []bool{false, true, true} { // The types are in the first message, the index in the second.
		r := reports[7]
		r.Indexed, r.Index = indexed, h.index.revision
		var reply Totals
		h.handleReport(r, &reply, now)
		out.Reset()
		assert.NilError(t, enc.Encode(&reply))
		sizes[indexed] = out.Len()
	}
	const aim = 1000 // Bytes: 1,250 answers a second then take 10 Mbit/s of a link of 200.
	assert.Assert(t, sizes[true] < aim, "%v bytes by whether loads are indexed", sizes)
}

// Guards against a node that sees fewer runs than there are, because the totals that it gets lack the report that it subtracts
// from them.
func TestSharedTotalsIncludeTheReport(t *testing.T) {
	h, now := testHub("a", "b"), time.Unix(100, 0)
	var index upstreamIndex
	report := func(node string, loads map[string]dispatch.Load) map[string]dispatch.Load {
		var got Totals
		now = now.Add(packedLifetime / 10)
		h.handleReport(Report{Node: node, Loads: loads, Indexed: true, Index: index.revision}, &got, now)
		return index.expand(got.IndexedLoads)
	}
	report("a", map[string]dispatch.Load{"u": {Online: 3}, "v": {Online: 1}})
	assert.Equal(t, report("b", map[string]dispatch.Load{"u": {Online: 1}})["u"].Online, 4)
	got := report("b", map[string]dispatch.Load{"w": {Online: 2}})
	assert.Equal(t, got["u"].Online, 3)
	assert.Equal(t, got["w"].Online, 2)
	assert.Equal(t, report("a", map[string]dispatch.Load{"v": {Online: 1}})["u"].Online, 0)
}
