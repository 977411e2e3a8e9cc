package customerlimit

import (
	"math"
	"slices"
	"time"
)

// Hub keeps the windows of all customers on the node that is the hub. It is not safe for concurrent use.
type Hub struct {
	window time.Duration
	// limit returns the limit of a customer in force at the hub.
	limit     func(customer string) Limit
	nodes     map[string]*node
	customers map[string]*account
	// part is the part of the limits that this hub distributes.
	part float64
	// term is when the first report after termGap arrived.
	term                 int64
	reportedAt, reviewed time.Time
	// revision changes with the list of constrained customers.
	revision    int64
	constrained []string
}

// node is what the hub knows of a node.
type node struct {
	incarnation, seq int64
	// whole is set once the node has sent a whole report, or is of a build without limits: customers that are not in it had no
	// requests.
	whole bool
	at    time.Time
	uses  map[string]*use
}

// use is what the hub knows of a customer at a node.
type use struct {
	accepted, refused, since int64
	// held are the tokens that the node may still spend; charged are those that were counted as spent because it did not
	// report, and may prove unspent.
	held, charged int
	// chargedSlot is the slot of the history in which charged are counted.
	chargedSlot int64
	// named are the return times that the node got and has not given to refused requests yet.
	named  []time.Time
	demand smoothed
}

// account is what was accepted of a customer.
type account struct {
	// rate and capacity are the refill and the capacity of the part of the limit that this hub distributes.
	rate, capacity, part float64
	// level is that of a bucket with this rate and capacity. It bounds the rate over many windows; history bounds each window.
	level float64
	at    time.Time
	// held are the tokens that nodes may still spend.
	held    int
	demand  smoothed
	history history
	// returns are the times at which refused requests were told to return.
	returns          []time.Time
	constrained      bool
	constrainedSince time.Time
}

// smoothed is a smoothed rate per second.
type smoothed struct {
	value float64
	at    time.Time
}

// add counts events and returns the rate.
func (r *smoothed) add(n int64, now time.Time) float64 {
	r.value = r.value*math.Exp(-float64(now.Sub(r.at))/float64(demandTime)) + float64(n)/demandTime.Seconds()
	r.at = now
	return r.value
}

// NewHub returns a hub that knows of no requests.
func NewHub(window time.Duration, limit func(customer string) Limit) *Hub {
	return &Hub{window: window, limit: limit, nodes: map[string]*node{}, customers: map[string]*account{}}
}

// Answer counts what a process of a node reports and answers it. size is the number of registered nodes. r is nil in
// the reports of builds without limits.
func (h *Hub) Answer(now time.Time, name string, incarnation int64, size int, r *Report) *Answer {
	if now.Sub(h.reportedAt) > termGap {
		// Another hub may have counted meanwhile. Nodes send their last window again to a hub that they return to.
		h.nodes, h.customers, h.reviewed, h.constrained = map[string]*node{}, map[string]*account{}, time.Time{}, nil
		h.term, h.revision = now.UnixNano(), now.UnixNano()
	}
	h.reportedAt = now
	n := h.nodes[name]
	if n == nil || n.incarnation != incarnation {
		if n != nil {
			h.charge(n, now)
		}
		n = &node{incarnation: incarnation, uses: map[string]*use{}}
		h.nodes[name] = n
	}
	if r != nil && r.Seq <= n.seq {
		return nil
	}
	since := now.Sub(n.at)
	n.at = now
	joined := !n.whole && (r == nil || r.Whole)
	n.whole = n.whole || joined
	if now.Sub(h.reviewed) >= reviewInterval || since > reportingTime || joined {
		h.review(now, size)
	}
	if r == nil {
		return nil
	}
	n.seq = r.Seq
	answer := &Answer{Limits: true, Term: h.term}
	if n.whole {
		h.release(n, now)
		for _, u := range r.Uses {
			h.count(n, u, r.Whole, since, now)
		}
		for _, u := range r.Uses {
			h.grant(n, u, answer, now)
		}
	}
	if answer.Revision = h.revision; r.Seen != h.revision {
		answer.Constrained = h.constrained
	}
	return answer
}

// release takes back the tokens of a node. Those that its report says it holds are counted again.
func (h *Hub) release(n *node, now time.Time) {
	for customer, u := range n.uses {
		if u.held == 0 && u.charged == 0 {
			continue
		}
		if a := h.account(customer, now); a != nil {
			a.held -= u.held
			a.level = min(a.capacity, a.level+float64(u.charged))
			a.history.add(-int64(u.charged), int(a.history.newest-u.chargedSlot))
		}
		u.held, u.charged = 0, 0
	}
}

// count counts the requests of a customer at a node whose last report was some time ago.
func (h *Hub) count(n *node, reported Use, whole bool, since time.Duration, now time.Time) {
	u := n.uses[reported.Customer]
	known := u != nil
	if !known {
		u = &use{}
		n.uses[reported.Customer] = u
	}
	if known && reported.Since != u.since {
		u.accepted, u.refused = 0, 0
	}
	u.since = reported.Since
	accepted, refused := reported.Accepted-u.accepted, reported.Refused-u.refused
	u.accepted, u.refused = reported.Accepted, reported.Refused
	u.named = u.named[min(max(0, int(refused)), len(u.named)):]
	a := h.account(reported.Customer, now)
	if a == nil {
		return
	}
	if !whole || known && since < time.Second {
		a.level = min(a.capacity, a.level-float64(accepted))
		a.history.add(accepted, 0)
		a.demand.add(max(0, accepted+refused), now)
		u.demand.add(max(0, accepted+refused), now)
	} else {
		var sum int64
		for age, count := range reported.Recent {
			if !known || time.Duration(age)*h.window/slots < since {
				a.history.add(count, age)
				sum += count
			}
		}
		a.demand.value += float64(sum) / h.window.Seconds()
		a.level = min(a.level, a.history.level(a.rate, a.capacity, h.window/slots))
	}
	u.held = reported.Held
	a.held += u.held
}

// grant answers for a customer whose figures a node reported.
func (h *Hub) grant(n *node, reported Use, answer *Answer, now time.Time) {
	a := h.account(reported.Customer, now)
	if a == nil {
		return
	}
	h.updateConstrained(reported.Customer, a, now)
	u := n.uses[reported.Customer]
	if !a.constrained {
		return
	}
	free := a.free()
	ahead := 0.0
	if u.demand.add(0, now) > 0 {
		ahead = min(u.demand.value*reportLag.Seconds(), free/4)
	}
	g := Grant{Customer: reported.Customer}
	g.Tokens = int(max(0, min(math.Floor(free), float64(reported.Waiting)+math.Floor(max(0, ahead-float64(reported.Held))))))
	if g.Tokens < reported.Waiting {
		g.RetryAfter = a.retryAfter(now, h.window, g.Tokens)
		refused := reported.Waiting - g.Tokens + int(math.Ceil(u.demand.value*maxRefuse.Seconds()))
		g.Returns = a.reserve(now, h.window, u, g.Tokens, min(refused, maxReturns))
	}
	if g.Tokens > 0 || reported.Waiting > 0 {
		u.held += g.Tokens
		a.held += g.Tokens
		answer.Grants = append(answer.Grants, g)
	}
}

// free returns how many more requests may be accepted now.
func (a *account) free() float64 {
	return min(a.level, a.capacity-float64(a.history.sum())) - float64(a.held)
}

// retryAfter returns the time until one more request may be accepted, after a number of tokens that are not yet held.
func (a *account) retryAfter(now time.Time, window time.Duration, tokens int) time.Duration {
	taken := float64(a.held + tokens + 1)
	refill := time.Duration(max(0, taken-a.level) / a.rate * float64(time.Second))
	// Requests beyond a whole window pass when those that return before them have left it too.
	windows := math.Ceil(taken/math.Floor(a.capacity)) - 1
	later := time.Duration(windows * float64(window+window/slots))
	return max(refill, later+a.history.untilBelow(a.capacity-(taken-windows*math.Floor(a.capacity)), now, window))
}

// reserve names return times for a number of requests that a node refuses, each when the window has room for it beside those that
// were told to return before. They replace the times that the node has not given to requests.
func (a *account) reserve(now time.Time, window time.Duration, u *use, tokens, count int) (returns []time.Duration) {
	for _, unused := range u.named {
		if i := slices.Index(a.returns, unused); i >= 0 {
			a.returns = slices.Delete(a.returns, i, i+1)
		}
	}
	u.named = nil
	for len(a.returns) > 0 && !a.returns[0].After(now) {
		a.returns = a.returns[1:]
	}
	for range count {
		after := a.retryAfter(now, window, tokens+len(a.returns))
		returns = append(returns, after)
		if after <= returnHorizon {
			a.returns = append(a.returns, now.Add(after))
			u.named = append(u.named, now.Add(after))
		}
	}
	return returns
}

// account returns the account of a customer, brought up to date, or nil if the customer has no limit.
func (h *Hub) account(customer string, now time.Time) *account {
	l := h.limit(customer)
	if l.Rate <= 0 {
		if a := h.customers[customer]; a != nil {
			h.drop(customer, a)
		}
		return nil
	}
	rate, capacity := l.refill(h.window)*h.part, max(1, l.capacity(h.window)*h.part)
	a := h.customers[customer]
	if a == nil {
		a = &account{part: h.part, rate: rate, capacity: capacity, level: capacity, at: now, demand: smoothed{at: now}}
		h.customers[customer] = a
	}
	a.level = min(a.capacity, a.level+a.rate*max(0, now.Sub(a.at).Seconds()))
	a.at = now
	a.history.advance(now, h.window)
	if rate != a.rate || capacity != a.capacity {
		// The requests of the last window limit what is gained, so that a limit that changes often fills no bucket twice.
		left := a.history.level(rate, capacity, h.window/slots)
		switch {
		case h.part > a.part:
			// Nodes that have joined bring the requests of their last window, and the level fell by those of nodes before them.
			a.level = left
		case capacity > a.capacity:
			a.level = min(a.level+capacity-a.capacity, left)
		}
		a.rate, a.capacity, a.part = rate, capacity, h.part
		a.level = min(a.level, capacity)
	}
	return a
}

// updateConstrained decides whether nodes must ask for a customer: less may be accepted than what may be accepted until all
// nodes know.
func (h *Hub) updateConstrained(customer string, a *account, now time.Time) {
	reserve := min(a.demand.add(0, now)*demandRise*reportLag.Seconds()+1, a.capacity/2)
	free := a.free()
	switch {
	case free < reserve:
		a.constrainedSince = now
		if !a.constrained {
			a.constrained = true
			h.constrained = append(slices.Clone(h.constrained), customer)
			h.revision++
		}
	case a.constrained && free >= min(2*reserve, a.capacity*3/4) && now.Sub(a.constrainedSince) >= constrainedTime:
		h.unconstrain(customer, a)
	}
}

func (h *Hub) unconstrain(customer string, a *account) {
	if a.constrained {
		a.constrained = false
		h.constrained = slices.DeleteFunc(slices.Clone(h.constrained), func(c string) bool { return c == customer })
		h.revision++
	}
}

func (h *Hub) drop(customer string, a *account) {
	h.unconstrain(customer, a)
	delete(h.customers, customer)
	for _, n := range h.nodes {
		if u := n.uses[customer]; u != nil {
			u.held, u.charged = 0, 0
		}
	}
}

// review updates the part of the limits that the hub distributes, counts the tokens of nodes that do not report as spent, and
// updates the list of constrained customers.
func (h *Hub) review(now time.Time, size int) {
	h.reviewed = now
	reporting := 0
	for name, n := range h.nodes {
		age := now.Sub(n.at)
		if age <= reportingTime && n.whole {
			reporting++
		}
		if age > holdTime {
			h.charge(n, now)
		}
		if age > forgetAfter {
			delete(h.nodes, name)
		}
	}
	h.part = min(1, float64(max(1, reporting))/float64(size))
	// In a new term, the requests of nodes that have not reported yet are unknown: the whole limit exceeded the bound by 1 %.
	if h.part >= wholePart && now.UnixNano()-h.term > int64(newTermTime) {
		h.part = 1
	}
	for customer := range h.customers {
		if a := h.account(customer, now); a != nil {
			h.updateConstrained(customer, a, now)
		}
	}
}

// charge counts the tokens of a node as spent.
func (h *Hub) charge(n *node, now time.Time) {
	for customer, u := range n.uses {
		if u.held == 0 {
			continue
		}
		if a := h.account(customer, now); a != nil {
			a.held -= u.held
			a.level -= float64(u.held)
			a.history.add(int64(u.held), 0)
			u.chargedSlot = a.history.newest
		}
		u.charged, u.held = u.charged+u.held, 0
	}
}
