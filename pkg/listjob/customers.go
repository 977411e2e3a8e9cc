package listjob

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"
)

const (
	// scopeSeparator separates a job's ID from the digest of its customer's name in the ID under which the job is stored.
	scopeSeparator = "@"
	// scopeBytes is the length of that digest: enough that the names of two customers never have the same one by accident.
	scopeBytes = 16
)

// storedID returns the ID under which the job of a customer is stored: customers choose the IDs of their jobs, so that two may choose
// the same one. Jobs without a customer keep their ID, unless it could be taken for that of a customer's job.
func storedID(customer, id string) string {
	if customer == "" && !isScoped(id) {
		return id
	}
	sum := sha256.Sum256([]byte(customer))
	return id + scopeSeparator + hex.EncodeToString(sum[:scopeBytes])
}

// isScoped reports whether an ID ends like that of a customer's job.
func isScoped(id string) bool {
	n := strings.LastIndex(id, scopeSeparator)
	if n < 0 || len(id)-n-len(scopeSeparator) != hex.EncodedLen(scopeBytes) {
		return false
	}
	_, err := hex.DecodeString(id[n+len(scopeSeparator):])
	return err == nil
}

// CustomerJobs gives access to the jobs that a customer may see: its own, and those that were submitted without a customer.
type CustomerJobs struct {
	c        *Controller
	customer string
}

// For returns the jobs of a customer; without a customer, those that were submitted without one.
func (c *Controller) For(customer string) CustomerJobs { return CustomerJobs{c, customer} }

// find calls with the stored ID of the customer's job, and if there is none, with that of a job without a customer.
func (j CustomerJobs) find(id string, call func(stored string) error) error {
	err := call(storedID(j.customer, id))
	if j.customer == "" || isScoped(id) || !errors.Is(err, ErrNotFound) {
		return err
	}
	return call(id)
}

// Read is Controller.Read for a job that the customer may see.
func (j CustomerJobs) Read(ctx context.Context, id string, after int, maxWait time.Duration) (l Listing, err error) {
	err = j.find(id, func(stored string) (err error) {
		l, err = j.c.Read(ctx, stored, after, maxWait)
		return err
	})
	return l, err
}

// Body is Controller.Body for a job that the customer may see.
func (j CustomerJobs) Body(ctx context.Context, id, itemID string) (body []byte, err error) {
	err = j.find(id, func(stored string) (err error) {
		body, err = j.c.Body(ctx, stored, itemID)
		return err
	})
	return body, err
}

// End is Controller.End for a job that the customer may see.
func (j CustomerJobs) End(ctx context.Context, id string) error {
	return j.find(id, func(stored string) error { return j.c.End(ctx, stored) })
}

// Accept is Controller.Accept for a job of the customer.
func (j CustomerJobs) Accept(ctx context.Context, s Submission) error {
	s.Customer, s.ID = j.customer, storedID(j.customer, s.ID)
	if s.Customer != "" || j.c.hasCustomers() {
		s.Items = j.c.withoutIdentity(s.Items)
	}
	return j.c.Accept(ctx, s)
}

// withoutIdentity returns items without the headers that identify a caller, so that no key is stored or sent to other nodes.
func (c *Controller) withoutIdentity(items []Item) []Item {
	clean := make([]Item, 0, len(items))
	for _, it := range items {
		header := make(map[string]string, len(it.Header))
		for name, value := range it.Header {
			if !c.options.Client.IsIdentity(name) {
				header[name] = value
			}
		}
		it.Header = header
		clean = append(clean, it)
	}
	return clean
}

// hasCustomers reports whether the configuration in force has customers.
func (c *Controller) hasCustomers() bool {
	table := c.options.Table()
	return table != nil && table.HasCustomers()
}

// limitName names a customer's share of the limit on the waiting tokens of a route, which applies to each customer separately. Nodes
// that know no customers take it for the name of another route.
func limitName(route, customer string) string {
	if customer == "" {
		return route
	}
	return route + "\x00" + customer
}
