package loadshare

import "trefoilplank.example/pkg/decision/customerlimit"

// Customers keeps the limits of customers over all nodes.
type Customers interface {
	// Report returns what this node reports to a hub, nil if there are no customers, and Answered applies the answer.
	Report(hub string) (*customerlimit.Report, customerlimit.Sent)
	Answered(sent customerlimit.Sent, answer *customerlimit.Answer)
	// HandleReport answers a report when this node is the hub.
	HandleReport(node string, incarnation int64, r *customerlimit.Report) *customerlimit.Answer
}

// addCustomers adds to a report for a hub what it is told of the requests of customers.
func (e *Exchange) addCustomers(r *Report, hub string) (sent customerlimit.Sent) {
	if e.options.Customers != nil {
		r.Customers, sent = e.options.Customers.Report(hub)
	}
	return sent
}

// applyCustomers applies the hub's answer about customers.
func (e *Exchange) applyCustomers(sent customerlimit.Sent, t Totals) {
	if e.options.Customers != nil {
		e.options.Customers.Answered(sent, t.Customers)
	}
}

// answerCustomers answers what a report says of the requests of customers.
func (o *Options) answerCustomers(r Report, reply *Totals) {
	if o.Customers != nil {
		reply.Customers = o.Customers.HandleReport(r.Node, r.Incarnation, r.Customers)
	}
}
