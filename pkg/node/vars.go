package node

import "expvar"

// liveMembers holds, for each node of the process by name, the number of live nodes that it knows, itself included.
var liveMembers = expvar.NewMap("live_members")

// publishVars adds this node to liveMembers.
func (n *Node) publishVars() {
	liveMembers.Set(n.settings.Name, expvar.Func(func() any {
		return len(n.board.Members.Value().Live)
	}))
}
