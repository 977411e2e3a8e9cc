// Package customers identifies the customer on whose behalf a caller sends a request, by the key that the request carries.
package customers

import (
	"net/http"
	"time"

	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/decision/routing"
)

const (
	// confirmedWithin is how recently the configuration must have been confirmed for a key that it lacks to be called unknown: in normal
	// operation the last confirmation is at most 1.8 s old. A younger configuration may hold the key; callers repeat a 503 at another node,
	// but not a 401.
	confirmedWithin = 2 * time.Second
	// retryAfter is the Retry-After of a request whose key can't be checked now: another node can probably check it, and this one confirms
	// its configuration within a watch call of 0.7 s.
	retryAfter = 300 * time.Millisecond
)

// Options configures a Checker.
type Options struct {
	// Table returns the configuration in force, or nil before one is known.
	Table func() *routing.Table
	// KeysAge returns the time since the node's copy of the configuration was known to be the store's newest.
	KeysAge func() time.Duration
	// Strict is set if keys are accepted only while the configuration was confirmed within Revocation.
	Strict     bool
	Revocation time.Duration
	Metrics    *Metrics
}

// Checker checks the keys of requests. It is safe for concurrent use. A nil Checker serves a deployment without customers.
type Checker struct{ options Options }

// New returns a checker.
func New(o Options) *Checker { return &Checker{o} }

// Caller is the sender of a request, as far as it is known.
type Caller struct {
	// Customer is the customer that holds the key, or nil on a public route without a known key, and without customers.
	Customer *routing.Customer
	// Checked is set if the configuration has customers. The headers that identify a caller are then not passed on.
	Checked bool
	key     routing.Digest
}

// Name returns the customer's name, or "".
func (c Caller) Name() string {
	if c.Customer == nil {
		return ""
	}
	return c.Customer.Name
}

// Refusal is why a request is refused because of its key. The zero value refuses nothing.
type Refusal struct {
	// Status is 401 for a key that is certainly unknown and 503 if that is not certain; 0 if the request is not refused.
	Status int
	// RetryAfter is set with status 503.
	RetryAfter time.Duration
	Reason     string
}

// Outcomes of the checks that refuse a request.
const (
	unknownKey       = "unknown_key"
	keysNotConfirmed = "keys_not_confirmed"
)

var (
	unauthorized = Refusal{Status: http.StatusUnauthorized, Reason: "unknown, missing or malformed key"}
	notConfirmed = Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: "configuration not confirmed recently enough to check the key"}
	noTable      = Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: "no configuration received yet"}
)

// Identify returns the sender of a request that this node has read completely. On a public route a key is optional, and one that can't be
// checked or is unknown counts as none.
func (c *Checker) Identify(h http.Header, public bool) (Caller, Refusal) {
	if c == nil {
		return Caller{}, Refusal{}
	}
	table := c.options.Table()
	switch {
	case table == nil:
		return Caller{}, noTable
	case !table.HasCustomers():
		return Caller{}, Refusal{}
	}
	// The age is read before the table: the table is then at least as new as the copy of which the age tells.
	age := c.options.KeysAge()
	acceptable := c.acceptable(age)
	if !acceptable && !public {
		c.options.Metrics.count(keysNotConfirmed)
		return Caller{}, notConfirmed
	}
	caller := Caller{Checked: true}
	key, ok := ParseKey(h)
	if ok && acceptable {
		table = c.options.Table()
		caller.key = routing.KeyDigest(key)
		caller.Customer = table.CustomerByKey(caller.key)
	}
	switch {
	case caller.Customer != nil || public || !table.HasCustomers():
		caller.Checked = table.HasCustomers()
		return caller, Refusal{}
	case ok && age > confirmedWithin:
		c.options.Metrics.count(keysNotConfirmed)
		return Caller{}, notConfirmed
	}
	c.options.Metrics.count(unknownKey)
	return Caller{}, unauthorized
}

// acceptable reports whether keys may be accepted by a configuration that was confirmed age ago.
func (c *Checker) acceptable(age time.Duration) bool {
	return !c.options.Strict || keyvalidity.Valid(age, c.options.Revocation)
}

// StillHolds returns why a request that waited may no longer be sent: because its key was removed, or given to another customer. It counts
// nothing, since a request may be checked several times.
func (c *Checker) StillHolds(caller Caller) Refusal {
	if c == nil || caller.Customer == nil {
		return Refusal{}
	}
	table := c.options.Table()
	now := table.CustomerByKey(caller.key)
	switch {
	case now == caller.Customer, !table.HasCustomers(), now != nil && now.Name == caller.Customer.Name:
		return Refusal{}
	case now != nil:
		return notConfirmed
	}
	return unauthorized
}
