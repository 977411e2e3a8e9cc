package node

import "expvar"

// liveMembers holds the number of live nodes that each node of the process knows of, itself included.
var liveMembers = expvar.NewMap("live_members")

func (n *Node) publishVars() {
	liveMembers.Set(n.settings.Name, expvar.Func(func() any {
		return len(n.board.Members.Value().Live)
	}))
}
