package customers

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxLabels limits the customers that have counters of their own; the others are counted together.
const maxLabels = 100

// otherLabel is the label of customers beyond maxLabels.
const otherLabel = "other"

// Metrics counts requests by the outcome of the check of their keys, and by customer.
type Metrics struct {
	set *metrics.Set
	mu  sync.RWMutex
	// byCustomer holds the counters by customer and outcome, for at most maxLabels customers.
	byCustomer map[string]map[string]*metrics.Counter
	other      map[string]*metrics.Counter
}

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, byCustomer: map[string]map[string]*metrics.Counter{}, other: map[string]*metrics.Counter{}}
}

// count counts a request that was refused because of its key: unknown_key or keys_not_confirmed.
func (m *Metrics) count(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_keys_refused_total{outcome="` + outcome + `"}`).Inc()
	}
}

// CountRequest counts the outcome of a customer's request.
func (m *Metrics) CountRequest(customer, outcome string) {
	if m == nil || customer == "" {
		return
	}
	m.mu.RLock()
	counter := m.byCustomer[customer][outcome]
	m.mu.RUnlock()
	if counter == nil {
		counter = m.counter(customer, outcome)
	}
	counter.Inc()
}

// counter returns the counter of a customer, which it creates if the customer may have one of its own.
func (m *Metrics) counter(customer, outcome string) *metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counters, label := m.byCustomer[customer], customer
	switch {
	case counters != nil:
	case len(m.byCustomer) < maxLabels:
		counters = map[string]*metrics.Counter{}
		m.byCustomer[customer] = counters
	default:
		counters, label = m.other, otherLabel
	}
	if counters[outcome] == nil {
		counters[outcome] = m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilplank_customer_requests_total{customer=%q,outcome=%q}`, label, outcome))
	}
	return counters[outcome]
}
