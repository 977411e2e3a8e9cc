// Package lostnodes decides which registered nodes are lost when the node that looks hears at most half of them.
//
// Then it can't tell by the count whether the others are lost or it is cut off from them. The store can: a node that is alive and
// reaches the store undoes any change of its own entry. So the entry of a node that is not heard is marked, which challenges
// the node, and a node whose entry stays marked for AnswerTime is lost.
//
// Invariant: no node begins to count as lost while others may rely on it. Whoever confirms a node to be live either hears all
// registered nodes, or knows an entry of the node without a mark that is at most ConfirmAge old. A node that comes back was not confirmed for a
// while, so it compares what it held with the store; it counts as lost for copyAge longer at most.
package lostnodes

import "time"

const (
	// UnheardTime is how long a node is not heard before it is challenged: longer than a restart or the change to another hub.
	UnheardTime = 3 * time.Second
	// AnswerTime is how long an entry must stay marked: a node learns of it with its copy of the entries, up to 1.5 s later, and the
	// store may be slow.
	AnswerTime = 6 * time.Second
	// ConfirmAge is the greatest age of the entries by which a node may be confirmed to be live while others are not heard. A
	// confirmation counts for 1.2 s, so AnswerTime must be longer by more than that.
	ConfirmAge = 4 * time.Second
	// copyAge is how old the entries may be by which a node is lost: those of a watch that works are at most 2.5 s old.
	copyAge = 3 * time.Second
	// challengeRetry is the time between attempts to mark an entry, and challengeAgain that until a node which has answered is challenged
	// again while it is not heard.
	challengeRetry, challengeAgain = time.Second, 10 * time.Second
	// maxChallenges limits the entries that are marked in one review, since each costs a write to the store and an answer another.
	maxChallenges = 8
)

// Node is a registered node that is not heard, as its entry is.
type Node struct {
	Name     string
	Revision int64
	// Marked is set while the entry is marked, and Answers if the node's build undoes marks.
	Marked, Answers bool
}

// Challenges holds the nodes that are challenged. The zero value is ready to use. It is not safe for concurrent use.
type Challenges struct {
	nodes map[string]challenge
}

// challenge is what is known of a node that is not heard.
type challenge struct {
	// revision is that of the marked entry, and since when it was first seen; revision is 0 while the entry is not marked.
	revision int64
	since    time.Time
	// next is when the entry may be marked again.
	next time.Time
}

// Review returns the nodes whose entries must be marked now, and those that are lost. unheard are all nodes that are not heard for
// UnheardTime, and the entries are known to be current as of the given time.
func (c *Challenges) Review(unheard []Node, current, now time.Time) (mark, lost []string) {
	before := c.nodes
	c.nodes = make(map[string]challenge, len(unheard))
	for _, n := range unheard {
		known := before[n.Name]
		switch {
		case n.Marked && n.Revision == known.revision:
			if current.Sub(known.since) >= AnswerTime && now.Sub(current) <= copyAge {
				lost = append(lost, n.Name)
			}
		case n.Marked:
			known.revision, known.since = n.Revision, now
		default:
			if known.revision != 0 { // The node has answered.
				known = challenge{next: now.Add(challengeAgain)}
			}
			if n.Answers && len(mark) < maxChallenges && !now.Before(known.next) {
				known.next = now.Add(challengeRetry)
				mark = append(mark, n.Name)
			}
		}
		c.nodes[n.Name] = known
	}
	return mark, lost
}
