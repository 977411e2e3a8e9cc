package lostnodes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a node that is taken for lost although others rely on it: in a random division of the fleet no node that is confirmed by a hub on
// its side, with entries at most ConfirmAge old, begins to be lost at another one, and one that is confirmed again is not lost for longer than copyAge.
func TestConfirmedNodesAreNotLost(t *testing.T) {
	const step, confirmationLasts = 50 * time.Millisecond, 1200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		// The entry of the node, and the copies of it at the hub that does not hear the node and at the one that confirms it.
		entry := Node{Name: "n", Revision: 1, Answers: true}
		copies := [2]Node{entry, entry}
		current := [2]time.Time{now, now}
		var c Challenges
		var confirmedSince, confirmedUntil, writesAt time.Time
		wasLost := false
		for phase := range rapid.IntRange(1, 8).Draw(t, "phases") {
			draw := func(name string) bool { return rapid.Bool().Draw(t, fmt.Sprint(name, phase)) }
			reaches := [2]bool{draw("doubting hub reaches the store"), draw("confirming hub reaches the store")}
			nodeWrites, markLost := draw("node reaches the store"), draw("marks are carried out late")
			for end := now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond); now.Before(end); now = now.Add(step) {
				for i := range copies {
					if reaches[i] {
						copies[i], current[i] = entry, now
					}
				}
				if !copies[1].Marked && now.Sub(current[1]) <= ConfirmAge {
					if !now.Before(confirmedUntil) {
						confirmedSince = now
					}
					confirmedUntil = now.Add(confirmationLasts)
				}
				if entry.Marked && nodeWrites && copies[1].Marked {
					if writesAt.IsZero() {
						writesAt = now.Add(100 * time.Millisecond)
					} else if !now.Before(writesAt) {
						entry, writesAt = Node{Name: "n", Revision: entry.Revision + 1, Answers: true}, time.Time{}
					}
				}
				mark, lost := c.Review([]Node{copies[0]}, current[0], now)
				if len(lost) > 0 && now.Before(confirmedUntil) && (!wasLost || now.Sub(confirmedSince) > copyAge) {
					t.Fatalf("lost at %v, confirmed from %v until %v", now, confirmedSince, confirmedUntil)
				}
				wasLost = len(lost) > 0
				if len(mark) > 0 && reaches[0] && copies[0].Revision == entry.Revision && !markLost {
					entry.Revision, entry.Marked = entry.Revision+1, true
				}
			}
		}
	})
}

// Guards against nodes that are lost for good and never taken for lost, in whatever order and number, and against more writes to the store
// than the nodes need.
func TestLostNodesAreFound(t *testing.T) {
	var c Challenges
	now := time.Unix(1000, 0)
	revision := int64(0)
	entries := map[string]Node{}
	for n := range 100 {
		revision++
		entries[fmt.Sprint(n)] = Node{Name: fmt.Sprint(n), Revision: revision, Answers: true}
	}
	lost, marks := map[string]bool{}, 0
	for range 400 {
		var unheard []Node
		for _, n := range entries {
			unheard = append(unheard, n)
		}
		mark, found := c.Review(unheard, now, now)
		for _, name := range mark {
			n := entries[name]
			revision++
			n.Revision, n.Marked = revision, true
			entries[name] = n
			marks++
		}
		for _, name := range found {
			lost[name] = true
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, len(lost), 100)
	assert.Equal(t, marks, 100)
}

// Guards against a node of an earlier build, which does not undo marks, being taken for lost; against an answer that comes late; and
// against a copy of the entries that is too old to show an answer.
func TestNodesThatMayBeAliveAreNotLost(t *testing.T) {
	now := time.Unix(1000, 0)
	review := func(c *Challenges, n Node, current time.Time) (marked, lost bool) {
		mark, found := c.Review([]Node{n}, current, now)
		return len(mark) > 0, len(found) > 0
	}
	var c Challenges
	marked, lost := review(&c, Node{Name: "earlier build", Revision: 1}, now)
	assert.Assert(t, !marked && !lost)
	marked, _ = review(&c, Node{Name: "n", Revision: 1, Answers: true}, now)
	assert.Assert(t, marked)
	n := Node{Name: "n", Revision: 2, Answers: true, Marked: true}
	_, lost = review(&c, n, now)
	assert.Assert(t, !lost)
	assert.Equal(t, c.nodes["n"].revision, int64(2), "the challenge is known")
	begun := now
	now = now.Add(AnswerTime)
	_, lost = review(&c, n, begun.Add(AnswerTime-time.Millisecond))
	assert.Assert(t, !lost, "the copy is older than the answer may be")
	_, lost = review(&c, n, now)
	assert.Assert(t, lost)
	marked, lost = review(&c, Node{Name: "n", Revision: 3, Answers: true}, now)
	assert.Assert(t, !marked && !lost, "the node has answered")
	now = now.Add(challengeAgain)
	marked, _ = review(&c, Node{Name: "n", Revision: 3, Answers: true}, now)
	assert.Assert(t, marked)
	c.Review(nil, now, now)
	assert.Equal(t, len(c.nodes), 0, "the node is heard again")
}
