package loadshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that counts itself as live by the answer of a hub although others may count it as lost: they may have
// another hub, or the hub does not know the node's entry.
func TestAnswerConfirmsOnlyWhatOthersAgreeOn(t *testing.T) {
	h := testHub("a", "b", "c", "d")
	now := time.Unix(100, 0)
	confirms := func(node string, incarnation int64, draining bool) bool {
		now = now.Add(reviewInterval)
		var got Totals
		h.handleReport(Report{Node: node, Incarnation: incarnation, Draining: draining}, &got, now)
		return !got.Unconfirmed
	}
	assert.Assert(t, !confirms("hub", 1, false), "one of five nodes reports")
	assert.Assert(t, !confirms("a", 1, false), "two of five")
	assert.Assert(t, confirms("b", 1, false), "three of five")
	assert.Assert(t, !confirms("e", 1, false), "no entry")
	assert.Assert(t, !confirms("c", 7, false), "entry of another process")
	assert.Assert(t, !confirms("c", 1, true), "others take over the jobs of a draining node")
	assert.Assert(t, confirms("d", 1, false))
	now = now.Add(5 * time.Second)
	assert.Assert(t, !confirms("hub", 1, false), "the hub was frozen, and the others may have another one")
}
