package membership

import (
	"context"

	"trefoilplank.example/pkg/operator/status"
)

// Status reports the nodes that were removed as unreachable, for the operator interface.
func (c *Controller) Status(context.Context) status.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r status.Report
	for _, n := range c.table.Removed() {
		r.Problems = append(r.Problems, status.Problem{
			Kind: status.KindNode, Name: n.Name, Cause: "out of contact: " + n.Evidence, Since: n.Since,
			System:   "callers are not sent to it, its work has moved, and it is tried again every few seconds",
			Operator: "check the VM and the network to it; a VM that is gone needs nothing",
		})
	}
	return r
}
