package quarantine

import (
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// otherMembers returns the names of the other live members.
func (c *Controller) otherMembers() []string {
	return slices.DeleteFunc(slices.Clone(c.liveMembers()), func(name string) bool { return name == c.Self })
}

// decidingNodes returns the first n nodes that may decide on the fingerprint, the owner first, without those that did not
// answer within the last avoidFor. If none is left, it returns this node. moved is true if these may differ from the nodes
// before a recent change.
func (c *Controller) decidingNodes(fingerprint string, n int) (order []string, moved bool) {
	live := c.liveMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	avoided := func(n string) bool { return now.Before(c.avoidUntil[n]) }
	order = rendezvous.Top(fingerprint, live, n)
	if slices.ContainsFunc(order, avoided) {
		moved = true
		order = slices.DeleteFunc(rendezvous.Top(fingerprint, live, candidateCount), avoided)
		order = order[:min(len(order), n)]
	}
	if len(order) == 0 {
		order = append(order, c.Self)
	}
	return order, moved || now.Sub(c.members.changedAt) < recentChange
}

// liveMembers returns the names of the live members. While Run is active, they come from the member history, so that
// a node never uses a member change before it counts the change as recent.
func (c *Controller) liveMembers() []string {
	c.mu.Lock()
	known := c.members.live
	c.mu.Unlock()
	if len(known) > 0 {
		return known
	}
	if list := memberNames(c.Board.Members.Value().Live); len(list) > 0 {
		return list
	}
	return []string{c.Self}
}

func memberNames(live map[string]blackboard.Member) []string {
	return slices.AppendSeq(make([]string, 0, len(live)), maps.Keys(live))
}
