package routing

import "crypto/sha256"

// Digest is the SHA-256 sum of a key. Configurations keep digests only, so that no key can reach a log or another node.
type Digest [sha256.Size]byte

// KeyDigest returns the digest of a key.
func KeyDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Customer is an institution whose callers identify themselves by a key.
type Customer struct {
	Name string
	Keys []Digest
	// Priority takes precedence over that of the route if it is set; 0 is served first.
	Priority *int
	// Rate is the limit on requests per second over all nodes, with bursts of Burst requests; 0 is no limit.
	Rate, Burst float64
}

// HasCustomers reports whether requests need a key, except those on public routes.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }

// CustomerByKey returns the customer that holds the key with a digest, or nil. Keys are compared by digest, which leaks nothing of them
// through the time that a lookup takes.
func (t *Table) CustomerByKey(d Digest) *Customer { return t.customersByKey[d] }

// Customer returns a customer by name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customersByName[name] }

// indexCustomers indexes the customers. The first customer with a key has it.
func (t *Table) indexCustomers() {
	if !t.HasCustomers() {
		return
	}
	t.customersByKey, t.customersByName = map[Digest]*Customer{}, map[string]*Customer{}
	for i := range t.Customers {
		c := &t.Customers[i]
		if _, ok := t.customersByName[c.Name]; !ok {
			t.customersByName[c.Name] = c
		}
		for _, d := range c.Keys {
			if _, ok := t.customersByKey[d]; ok {
				t.SharedKeys++
				continue
			}
			t.customersByKey[d] = c
		}
	}
}
