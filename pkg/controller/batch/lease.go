package batch

import (
	"context"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/decision/jobstate"
)

// holderExpired reports whether the store shows that the lease of a part's holder is over. Live members are looked up
// too, since they may be cut off from the store; the caller's read budget bounds these reads. If the lease can't be
// read, the holder keeps the part.
func (c *Controller) holderExpired(ctx context.Context, h jobstate.Holder) bool {
	if h.Node == c.Node {
		// The holder is an earlier process of this node: callers never ask about a part that they hold now.
		return true
	}
	d, err := c.leases.MayTake(ctx, h.Node, h.Lease, 0)
	if err != nil {
		klog.V(1).InfoS("Lease of a part's holder could not be read", "holder", h.Node, "err", err)
		return false
	}
	return d.Allowed
}
