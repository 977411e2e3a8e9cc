package admission

import (
	"context"
	"fmt"

	"trefoilplank.example/pkg/operator/status"
)

// Status implements status.Provider. It reports the slots and the queue of each owned upstream.
func (c *Controller) Status(context.Context) status.Report {
	var r status.Report
	for _, l := range c.ownedLoads("", false) {
		r.Objects = append(r.Objects, status.Object{
			Kind: status.KindUpstream, Name: l.Upstream, Part: "admission",
			Desired: fmt.Sprintf("at most %d runs", l.Limit),
			Observed: fmt.Sprintf("%d online and %d batch runs, %d waiting, admitted by %s", l.Online, l.Batch, l.Waiting,
				c.Self),
		})
	}
	return r
}
