package listjob

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/routing"
)

const (
	// scopeSeparator separates a job's ID from the digest of its customer's name in the ID under which the job is stored.
	scopeSeparator = "@"
	// scopeBytes is the length of that digest: enough that the names of two customers never have the same one by accident.
	scopeBytes = 16
	// onlyCustomersFor is how long an answer of the hub that all jobs are those of customers is used.
	onlyCustomersFor = 2 * time.Second
	// staleListAge is how old a list may be that the store gives at a lower cost: seconds, as the platform says.
	staleListAge = 5 * time.Second
	// customersSettle is how long the configuration must have required keys for all jobs before such an answer is used: a configuration is in
	// force at all nodes within 3 s, and the answer may tell of the heads as they were before.
	customersSettle = 3*time.Second + onlyCustomersFor + maxSweepAge + staleListAge
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
func (j CustomerJobs) find(ctx context.Context, id string, call func(stored string) error) error {
	err := call(storedID(j.customer, id))
	if j.customer == "" || isScoped(id) || !errors.Is(err, ErrNotFound) || !j.c.mayExistWithoutCustomer(ctx, id) {
		return err
	}
	return call(id)
}

// Read is Controller.Read for a job that the customer may see.
func (j CustomerJobs) Read(ctx context.Context, id string, after int, maxWait time.Duration) (l Listing, err error) {
	err = j.find(ctx, id, func(stored string) (err error) {
		l, err = j.c.Read(ctx, stored, after, maxWait)
		return err
	})
	return l, err
}

// Body is Controller.Body for a job that the customer may see.
func (j CustomerJobs) Body(ctx context.Context, id, itemID string) (body []byte, err error) {
	err = j.find(ctx, id, func(stored string) (err error) {
		body, err = j.c.Body(ctx, stored, itemID)
		return err
	})
	return body, err
}

// End is Controller.End for a job that the customer may see.
func (j CustomerJobs) End(ctx context.Context, id string) error {
	return j.find(ctx, id, func(stored string) error { return j.c.End(ctx, stored) })
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

// onlyCustomers is what a node knows of whether jobs without a customer exist.
type onlyCustomers struct {
	mu sync.Mutex
	// table is the configuration in force when it was last looked at, and since the time from which on all jobs need a key, or zero.
	table *routing.Table
	since time.Time
	// asking is held while the hub is asked, which no sweep waits for. asked is when it was last asked, and answer whether it knew of none.
	asking sync.Mutex
	asked  time.Time
	answer bool
}

// settled reports whether the configuration has required keys for all jobs for long enough.
func (o *onlyCustomers) settled(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero() && now.Sub(o.since) >= customersSettle
}

// observe looks at the configuration in force.
func (o *onlyCustomers) observe(table *routing.Table, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if table == o.table {
		return
	}
	o.table = table
	switch {
	case table == nil || !needsKeysForJobs(table):
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
}

// needsKeysForJobs reports whether no job can be submitted without a key.
func needsKeysForJobs(table *routing.Table) bool {
	for i := range table.Routes {
		if r := &table.Routes[i]; r.Public && r.Kind == routing.KindBatch {
			return false
		}
	}
	return table.HasCustomers()
}

// mayExistWithoutCustomer reports whether a job may exist that was submitted without a customer. The hub knows by its sweep whether there are
// any; without its answer the job may exist. Nodes of builds up to a9253e5 accept such jobs at any time: those that the sweep has not found
// yet are known to the nodes to which they were announced.
func (c *Controller) mayExistWithoutCustomer(ctx context.Context, id string) bool {
	if !c.knowsOnlyCustomers() {
		return true
	}
	c.mu.Lock()
	_, known := c.knownOwners.get(id)
	known = known || c.jobs[id] != nil
	c.mu.Unlock()
	if !known {
		_, known = c.locate(ctx, id)
	}
	return known
}

// knowsOnlyCustomers reports whether all jobs that the hub has found are those of customers, and no node of this build accepts others.
func (c *Controller) knowsOnlyCustomers() bool {
	o := &c.onlyCustomers
	now := time.Now()
	o.observe(c.options.Table(), now)
	if !o.settled(now) {
		return false
	}
	o.asking.Lock()
	defer o.asking.Unlock()
	if now.Sub(o.asked) > onlyCustomersFor {
		o.asked, o.answer = now, c.askOnlyCustomers()
	}
	return o.answer
}

// askOnlyCustomers asks the hub whether its last sweep found only jobs of customers. Other look-ups wait for the answer, so that the call
// does not end with the one that makes it.
func (c *Controller) askOnlyCustomers() bool {
	var reply CheckReply
	if c.options.IsHub() {
		return c.Receiver().Check(CheckArgs{}, &reply) == nil && reply.OnlyCustomers
	}
	hub := c.options.Hub()
	if hub == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(c.running, locateTimeout)
	defer cancel()
	if err := c.options.Peers.Call(ctx, hub, "Jobs.Check", CheckArgs{}, &reply); err != nil {
		c.options.Log.Routine("hub not asked for jobs without a customer", "peer", hub, "error", err)
		return false
	}
	return reply.OnlyCustomers
}
