package customerlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that keeps all customers that it ever saw, and against a hub that takes the totals of a customer that
// the node had dropped for returned requests.
func TestNodeDropsUnusedCustomers(t *testing.T) {
	l := Limit{Rate: 10, Burst: 10}
	m, n := oneNode(l)
	direct(m, n, "hub", false)
	for range 40 {
		takeAsked(m, n, l)
	}
	direct(m, n, "hub", false)
	for i := range 5 * maxCustomers {
		n.Take(m.now, fmt.Sprint("other", i), l, 1)
		m.now = m.now.Add(20 * time.Millisecond)
		if i%10 == 9 {
			direct(m, n, "hub", false)
		}
	}
	assert.Assert(t, len(n.customers) <= maxCustomers, "%d customers", len(n.customers))
	assert.Assert(t, n.customers[customer] == nil, "the customer unused for longest is kept")
	for range 25 {
		assert.Assert(t, takeAsked(m, n, l))
	}
	direct(m, n, "hub", false)
	assert.Equal(t, m.hubs["hub"].customers[customer].history.sum(), int64(25))
	assert.Assert(t, m.hubs["hub"].customers[customer].free() <= l.capacity(testWindow)-25)
}

// Guards against dropped customers whose requests the hub does not know yet, or that a new hub must learn.
func TestNodeKeepsUnconfirmedCustomers(t *testing.T) {
	l := Limit{Rate: 10, Burst: 10}
	m, n := oneNode(l)
	direct(m, n, "hub", false)
	for i := range maxCustomers + 100 {
		n.Take(m.now, fmt.Sprint("other", i), l, 1)
	}
	m.now = m.now.Add(10 * time.Second)
	n.Take(m.now, customer, l, 1)
	assert.Equal(t, len(n.customers), maxCustomers+101, "not confirmed")
	direct(m, n, "hub", false) // Tells the node of the hub's new term.
	direct(m, n, "hub", false)
	for i := range 101 {
		n.Take(m.now, fmt.Sprint("late", i), l, 1)
	}
	assert.Assert(t, len(n.customers) <= maxCustomers, "%d customers", len(n.customers))
}
