package customerlimit

import "time"

// Verdict is a node's decision on a request.
type Verdict int

const (
	// Pass lets the request proceed.
	Pass Verdict = iota
	// Ask means that the hub must be asked in an exchange before the decision.
	Ask
	// Refuse means that the limit is reached.
	Refuse
)

// Node decides on the requests of a node. It is not safe for concurrent use.
type Node struct {
	window time.Duration
	// random returns a number from [0, 1).
	random    func() float64
	customers map[string]*local
	seq       int64
	// hub and term are the hub that has the figures of this node.
	hub        string
	term       int64
	answeredAt time.Time
	// unansweredAt is when a request last waited in vain for the hub.
	unansweredAt time.Time
	revision     int64
	constrained  map[string]bool
}

// local is what a node knows of a customer.
type local struct {
	accepted, refused, waiting int64
	// since is the number of reports before the totals began.
	since  int64
	usedAt time.Time
	// confirmed and confirmedRefused are the totals that the hub has, reported those in the last answered report.
	confirmed, confirmedRefused, reported int64
	tokens                                int
	tokensAt                              time.Time
	refuseUntil, retryAt                  time.Time
	// returns are the return times that the hub named and no request has got yet.
	returns []time.Time
	history history
	// share is the bucket of the node's equal share, for times without a hub. It bounds what the window of a node with less
	// than its share since the last answer leaves, as other nodes may have had more.
	share   float64
	shareAt time.Time
}

// NewNode returns the state of a node that no hub has answered.
func NewNode(window time.Duration, random func() float64) *Node {
	return &Node{window: window, random: random, customers: map[string]*local{}}
}

func (n *Node) local(customer string, now time.Time) *local {
	c := n.customers[customer]
	if c == nil {
		n.dropUnused(now)
		c = &local{since: n.seq}
		n.customers[customer] = c
	}
	c.usedAt = now
	c.history.advance(now, n.window)
	return c
}

// dropUnused makes room for a customer. Customers that the hub has no confirmed figures of, and those with requests in the last
// window, which a new hub must learn, are kept.
func (n *Node) dropUnused(now time.Time) {
	for len(n.customers) >= maxCustomers {
		var oldest string
		var oldestAt time.Time
		for customer, c := range n.customers {
			confirmed := c.accepted == c.confirmed && c.refused == c.confirmedRefused && c.waiting == 0 && c.tokens == 0
			if confirmed && now.Sub(c.usedAt) > n.window+n.window/slots && (oldest == "" || c.usedAt.Before(oldestAt)) {
				oldest, oldestAt = customer, c.usedAt
			}
		}
		if oldest == "" {
			return
		}
		delete(n.customers, oldest)
	}
}

// Take decides on a request. size is the number of nodes. After Ask, the caller calls Wait, exchanges with the hub, and calls
// TakeAsked.
func (n *Node) Take(now time.Time, customer string, l Limit, size int) (Verdict, time.Duration) {
	if l.Rate <= 0 {
		return Pass, 0
	}
	c := n.local(customer, now)
	switch {
	case now.Sub(n.answeredAt) > answerLife && now.Sub(n.unansweredAt) < askAgain:
		return n.takeShare(c, now, l, size)
	case n.mayPass(customer, c, now):
		return n.pass(c)
	case now.Before(c.refuseUntil):
		return n.refuse(c, c.returnAfter(now))
	}
	return Ask, 0
}

// Wait counts a request that waits for the hub's answer, until TakeAsked is called.
func (n *Node) Wait(now time.Time, customer string) { n.local(customer, now).waiting++ }

// TakeAsked decides on a request after an exchange; answered is false if the hub did not answer in time.
func (n *Node) TakeAsked(now time.Time, customer string, l Limit, size int, answered bool) (Verdict, time.Duration) {
	c := n.local(customer, now)
	c.waiting--
	switch {
	case n.mayPass(customer, c, now):
		return n.pass(c)
	case !answered || now.Sub(n.answeredAt) > answerLife:
		n.unansweredAt = now
		return n.takeShare(c, now, l, size)
	}
	return n.refuse(c, max(minRefuse, c.returnAfter(now)))
}

// returnAfter returns the time after which the next refused request may return.
func (c *local) returnAfter(now time.Time) time.Duration {
	for len(c.returns) > 0 {
		c.retryAt, c.returns = c.returns[0], c.returns[1:]
		if c.retryAt.After(now) {
			break
		}
	}
	return c.retryAt.Sub(now)
}

// mayPass spends a token, or reports whether a request may pass without one.
func (n *Node) mayPass(customer string, c *local, now time.Time) bool {
	if c.tokens > 0 && now.Sub(c.tokensAt) < tokenLife {
		c.tokens--
		return true
	}
	free := freeRequests + int64(freeRise*float64(c.history.sum())*freeTime.Seconds()/n.window.Seconds())
	return !n.constrained[customer] && c.accepted-c.reported < free && now.Sub(n.answeredAt) <= answerLife
}

func (n *Node) pass(c *local) (Verdict, time.Duration) {
	c.accepted++
	c.history.add(1, 0)
	return Pass, 0
}

func (n *Node) refuse(c *local, retry time.Duration) (Verdict, time.Duration) {
	c.refused++
	return Refuse, max(retry, time.Millisecond)
}

// takeShare decides by the node's equal share of the limit. The bucket begins at a random level below one, so that all nodes
// together use their rate at once and not only when each has gathered a whole token.
func (n *Node) takeShare(c *local, now time.Time, l Limit, size int) (Verdict, time.Duration) {
	nodes := float64(max(1, size))
	if c.shareAt.IsZero() {
		c.share, c.shareAt = n.random(), now
		if !n.answeredAt.IsZero() {
			c.shareAt = n.answeredAt
		}
	}
	c.share = min(max(1, l.capacity(n.window)/nodes), c.share+l.Rate/nodes*now.Sub(c.shareAt).Seconds())
	c.shareAt = now
	most := max(1, l.capacity(n.window)/nodes)
	if c.share >= 1 && float64(c.history.sum()) <= most-1 {
		c.share--
		return n.pass(c)
	}
	refill := time.Duration(max(0, 1-c.share) * nodes / l.Rate * float64(time.Second))
	return n.refuse(c, max(refill, c.history.untilBelow(most-1, now, n.window)))
}

// Return takes back a request that ended without having run.
func (n *Node) Return(now time.Time, customer string) {
	if c := n.customers[customer]; c != nil {
		c.history.advance(now, n.window)
		c.accepted--
		c.history.add(-1, 0)
	}
}

// Sent is a report and the hub to which it went.
type Sent struct {
	report *Report
	hub    string
}

// Holds reports whether there was a report.
func (s Sent) Holds() bool { return s.report != nil }

// Hub returns the hub to which the report went.
func (s Sent) Hub() string { return s.hub }

// Report returns the report for a hub.
func (n *Node) Report(now time.Time, hub string) (*Report, Sent) {
	whole := hub != n.hub
	n.seq++
	r := &Report{Seq: n.seq, Seen: n.revision, Whole: whole}
	if whole {
		r.Seen = 0
	}
	for customer, c := range n.customers {
		if now.Sub(c.tokensAt) >= keepTokens {
			c.tokens = 0
		}
		u := Use{Customer: customer, Since: c.since, Accepted: c.accepted, Refused: c.refused, Waiting: int(c.waiting), Held: c.tokens}
		if whole {
			c.history.advance(now, n.window)
			u.Recent = c.history.recent()
		}
		if whole || c.accepted != c.confirmed || c.refused != c.confirmedRefused || c.waiting > 0 || c.tokens > 0 {
			r.Uses = append(r.Uses, u)
		}
	}
	return r, Sent{r, hub}
}

// Answered applies the hub's answer; a is nil if the hub is of a build without limits.
func (n *Node) Answered(now time.Time, sent Sent, a *Answer) {
	if sent.report == nil || a == nil || !a.Limits {
		n.hub = ""
		return
	}
	if !sent.report.Whole && a.Term != n.term {
		// The hub lacks what it was told before; the next report is whole.
		n.hub = ""
		return
	}
	n.hub, n.term, n.answeredAt = sent.hub, a.Term, now
	if a.Revision != n.revision || sent.report.Whole {
		n.revision, n.constrained = a.Revision, map[string]bool{}
		for _, customer := range a.Constrained {
			n.constrained[customer] = true
		}
	}
	for _, u := range sent.report.Uses {
		if c := n.customers[u.Customer]; c != nil {
			c.confirmed, c.confirmedRefused = u.Accepted, u.Refused
		}
	}
	for _, c := range n.customers {
		c.shareAt, c.reported = time.Time{}, c.confirmed
	}
	for _, g := range a.Grants {
		c := n.customers[g.Customer]
		if c == nil {
			continue
		}
		if g.Tokens > 0 {
			c.tokens, c.tokensAt = c.tokens+g.Tokens, now
		}
		c.refuseUntil, c.returns = time.Time{}, nil
		for _, after := range g.Returns {
			c.returns = append(c.returns, now.Add(after))
		}
		if g.RetryAfter > 0 {
			c.retryAt = now.Add(g.RetryAfter)
			c.refuseUntil = now.Add(min(max(minRefuse, g.RetryAfter), maxRefuse))
		}
	}
}
