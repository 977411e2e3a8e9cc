package edge

import (
	"context"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// buildLinks creates the node's connections to upstreams, and lets other nodes use them.
func (n *Node) buildLinks(o options) {
	n.links = uplink.New(uplink.Options{
		Dial: o.dialUpstream, Helpers: n.relayHelpers, Relay: n.peers.Relay, Draining: n.draining.Load,
		Changed: func(addresses []string, _ bool) {
			n.placer.ForgetFailures(addresses)
			n.exchange.Request(context.Background())
		},
		Log: n.log, Metrics: uplink.NewMetrics(n.metrics),
	})
	n.placer.SetHeard(n.links.HeardAt)
	n.peerServer.HandleRelays(n.links.Accept)
}

// relayHelpers returns the nodes that may connect to an upstream for this one, in an order that differs between upstreams and
// between nodes, so that the load of a node that is cut off is divided among all others by their weights.
func (n *Node) relayHelpers(address string) []string {
	weights := n.fleet.AcceptingWeights()
	for _, name := range n.exchange.CutOff() {
		delete(weights, name)
	}
	return rendezvous.Ranked(n.settings.Name+" "+address, weights)
}

// linkedUpstreams returns upstreams as the links see them.
func linkedUpstreams(list []dispatch.Upstream) []reach.Upstream {
	linked := make([]reach.Upstream, 0, len(list))
	for _, u := range list {
		linked = append(linked, reach.Upstream{Address: u.Address, Service: u.Service, Incarnation: u.Incarnation})
	}
	return linked
}
