package node

import (
	"context"
	"expvar"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/explain"
)

// upstreamLinks holds, for each node of the process by name, how many upstreams it reaches through other nodes and how many
// connections it relays for them.
var upstreamLinks = expvar.NewMap("upstream_links")

// linkCounts is the value of a node in upstreamLinks.
type linkCounts struct {
	ReachedThroughOthers int   `json:"reached_through_others"`
	RelayedForOthers     int64 `json:"relayed_for_others"`
}

// buildLinks creates the node's connections to upstreams.
func (n *Node) buildLinks() {
	n.links = uplink.New(uplink.Options{
		Dial: n.dialUpstream, Helpers: n.relayHelpers, Relay: n.peerClient.Relay, Draining: n.board.Draining.Value, Changed: n.recordPaths,
	})
	n.peerServer.HandleRelays(n.links.Accept)
	upstreamLinks.Set(n.settings.Name, expvar.Func(func() any {
		return linkCounts{n.links.ReachedThroughOthers(), n.links.RelayedForOthers()}
	}))
}

// relayHelpers returns the nodes that may connect to an upstream for this one, in an order that differs between upstreams and
// between nodes, so that the load of a node that is cut off is divided among all others.
func (n *Node) relayHelpers(address string) []string {
	members := n.board.Members.Value()
	names := make([]string, 0, len(members.Live))
	for name := range members.Live {
		if name != n.settings.Name {
			names = append(names, name)
		}
	}
	return rendezvous.Top(n.settings.Name+" "+address, names, len(names))
}

// followRegister passes the upstreams of the register to the node's links until ctx ends.
func (n *Node) followRegister(ctx context.Context) error {
	for {
		config, revision := n.board.Config.Get()
		list := make([]reach.Upstream, 0, len(config.Register.Upstreams))
		for _, u := range config.Register.Upstreams {
			list = append(list, reach.Upstream{Address: u.Address, Service: string(u.Kind) + "/" + u.Service})
		}
		n.links.SetUpstreams(list)
		select {
		case <-ctx.Done():
			return nil
		case <-n.board.Config.Changed(revision):
		}
	}
}

// recordPaths records that upstreams are reached in another way.
func (n *Node) recordPaths(addresses []string, direct bool) {
	klog.InfoS("Upstreams are reached in another way", "node", n.settings.Name, "addresses", addresses, "direct", direct)
	names := map[string]string{}
	for _, u := range n.board.Config.Value().Register.Upstreams {
		names[u.Address] = u.Name
	}
	reason := "this node's connections fail, and other nodes connect"
	if direct {
		reason = "this node connects again"
	}
	for _, address := range addresses {
		n.decisionLog.Record(explain.Entry{Upstream: names[address], Decision: "path", Reason: reason, Values: map[string]any{"direct": direct}})
	}
}
