package batch

import (
	"context"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/decision/jobstate"
)

// lost decides whether a part's holder no longer has it. A live member is asked for in the store too, but only
// when the part is looked at, which the caller's read budget bounds. In doubt the holder has it.
func (c *Controller) lost(ctx context.Context, h jobstate.Holder) bool {
	if h.Node == c.Node {
		// An earlier run of this node; the caller never asks for a part that it holds now.
		return true
	}
	d, err := c.leases.MayTake(ctx, h.Node, h.Lease, 0)
	if err != nil {
		klog.V(1).InfoS("Lease of a part's holder could not be read", "holder", h.Node, "err", err)
		return false
	}
	return d.Allowed
}
