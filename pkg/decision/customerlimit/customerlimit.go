// Package customerlimit keeps the rate limits of customers over all nodes. The hub keeps the requests of the last window per
// customer; nodes report what they accepted and accept without asking while the window has room enough. When the room runs
// low, the customer is constrained, and nodes spend only tokens that the hub granted.
package customerlimit

import (
	"time"
)

const (
	// slots is the number of parts of the window in which nodes and the hub count requests.
	slots = 20
	// tokenLife is how long a node may spend granted tokens, and keepTokens how long it keeps unspent ones when it reports.
	tokenLife, keepTokens = 500 * time.Millisecond, 150 * time.Millisecond
	// holdTime is how long the hub waits for the next report of a node with tokens before it counts them as spent: longer
	// than tokenLife, so that the node can spend none of them later.
	holdTime = 600 * time.Millisecond
	// reportingTime is the time within which a node must have reported to count as reporting: an idle exchange takes up to
	// 0.36 s.
	reportingTime = 600 * time.Millisecond
	// termGap is the time without any report after which another node may have served as the hub meanwhile.
	termGap = 500 * time.Millisecond
	// wholePart is the part of the nodes that must report for the hub to distribute the whole limit. Below it, the hub
	// distributes their part only: the other nodes may have another hub. Two hubs together then distribute at most 1.1 of
	// the limit.
	wholePart = 0.9
	// newTermTime is how long a hub that begins to count distributes no more than the part of the nodes that have reported:
	// two idle exchanges, as a node learns of the new term with the first one.
	newTermTime = 800 * time.Millisecond
	// answerLife is how long an answer of the hub applies: two idle exchanges.
	answerLife = 800 * time.Millisecond
	// askAgain is how long requests do not wait for a hub that did not answer.
	askAgain = 300 * time.Millisecond
	// reportLag is the time from a request to the moment at which all nodes know its effect: two exchanges of busy nodes and
	// their round trips.
	reportLag = 150 * time.Millisecond
	// demandRise is how far above its recent demand a customer may send before the hub knows: 7.5 times the usual rate
	// within the time constant of the demand.
	demandRise = 5
	// demandTime is the time constant of the smoothed demand.
	demandTime = 500 * time.Millisecond
	// constrainedTime is how long a customer stays constrained at least, so that the list does not change with each report.
	constrainedTime = 500 * time.Millisecond
	// minRefuse and maxRefuse bound how long a node refuses without asking the hub again. The lower one keeps it to 50 asks
	// per second, the upper one limits the loss if a limit rises or tokens return.
	minRefuse, maxRefuse = 20 * time.Millisecond, 250 * time.Millisecond
	// returnHorizon is the time beyond which return times count for no later request, so that a long overload does not fill the
	// list of them: clients wait 5 s at most.
	returnHorizon = 10 * time.Second
	// maxCustomers is the number of customers above which a node drops those unused for longest: about ten times the typical
	// number, and below 1 MB.
	maxCustomers = 1000
	// maxReturns is the number of return times that a grant may name: more than a node refuses within maxRefuse, and a message
	// of a few hundred bytes.
	maxReturns = 64
	// freeRequests is the number of requests that a node may accept between two exchanges without asking, beside three
	// times its recent rate: a customer that sends everything to a few nodes is then noticed with the third request.
	freeRequests = 2
	// freeRise and freeTime bound by how much a node's requests between two exchanges may exceed its recent rate.
	freeRise, freeTime = 3, 300 * time.Millisecond
	// reviewInterval is how often the hub reviews all customers and nodes.
	reviewInterval = 50 * time.Millisecond
	// forgetAfter is the time without a report after which the hub forgets a node.
	forgetAfter = time.Minute
)

// Limit is a customer's limit over all nodes; a rate of 0 is none.
type Limit struct{ Rate, Burst float64 }

// capacity returns how many requests may be accepted in a window. They exceed rate x window + burst by a part of what the bound
// allows, 20 requests and a tenth: without it, a limit of less than one request in a window would pass none. The rest of the
// allowance is for requests that the hub does not know yet.
func (l Limit) capacity(window time.Duration) float64 {
	requests := l.Rate*window.Seconds() + l.Burst
	return requests + 1 + min(7, l.Rate) + 0.02*requests
}

// refill returns the rate that a limit allows over many windows. It excludes the allowance in capacity, which would double the
// rate of a customer with less than one request in a window.
func (l Limit) refill(window time.Duration) float64 { return l.Rate + l.Burst/window.Seconds() }

// Report is the part of a node's report that is about customers.
type Report struct {
	// Seq numbers the reports of a process, so that a late one is not taken for the newest.
	Seq int64
	// Seen is the revision of the list of constrained customers that the node has.
	Seen int64
	// Whole is set if Uses holds all customers that the node has seen, with the last window. It is set towards a hub whose term
	// is new to the node.
	Whole bool
	// Uses are the customers whose figures the hub has not confirmed.
	Uses []Use
}

// Use is what a node reports of a customer.
type Use struct {
	Customer string
	// Accepted and Refused are totals since the start of the process: a repeated report counts nothing twice, and a lost one
	// loses nothing.
	Accepted, Refused int64
	// Since differs from that of earlier reports if the totals began again, as the node had dropped the customer.
	Since int64
	// Waiting is the number of requests that wait for a token, and Held that of unspent tokens that the node keeps.
	Waiting, Held int
	// Recent are the accepted requests of the last window by slot, the current one first, if the report is whole.
	Recent []int64
}

// Answer is the hub's answer to a Report.
type Answer struct {
	// Limits is always set: a hub of a build without limits sends none.
	Limits bool
	// Term is when the hub began to count. A hub that may have been replaced for a while begins again.
	Term int64
	// Revision is that of the list of constrained customers, and Constrained the list if the node has another revision.
	Revision    int64
	Constrained []string
	// Grants answers the customers for which requests wait, or that are constrained and in demand at the node.
	Grants []Grant
}

// Grant is what a node gets for a customer.
type Grant struct {
	Customer string
	// Tokens may be spent within tokenLife. If there are none, a token is expected after RetryAfter.
	Tokens     int
	RetryAfter time.Duration
	// Returns are the times after which refused requests may return, one for each, in order.
	Returns []time.Duration
}

// history counts requests by slot of the window.
type history struct {
	counts [slots + 1]int64
	newest int64
}

// advance moves the history on to the slot of a time.
func (h *history) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/slots)
	if slot-h.newest > slots {
		clear(h.counts[:])
	} else {
		for s := h.newest + 1; s <= slot; s++ {
			h.counts[s%int64(len(h.counts))] = 0
		}
	}
	h.newest = max(h.newest, slot)
}

// untilBelow returns the time until at most a number of the counted requests remain in the window. A slot remains until it has
// left the window completely.
func (h *history) untilBelow(remaining float64, now time.Time, window time.Duration) time.Duration {
	sum := float64(h.sum())
	slot := int64(window / slots)
	for age := int64(slots); age >= 0 && sum > remaining; age-- {
		sum -= float64(h.counts[(h.newest-age)%int64(len(h.counts))])
		if sum <= remaining {
			return time.Duration((h.newest-age+slots+1)*slot - now.UnixNano())
		}
	}
	return 0
}

// add counts requests, age slots before the current one.
func (h *history) add(n int64, age int) {
	if age >= 0 && age <= slots {
		p := &h.counts[(h.newest-int64(age))%int64(len(h.counts))]
		*p = max(0, *p+n)
	}
}

// recent returns the counts, the current slot first, without trailing zeros.
func (h *history) recent() (counts []int64) {
	last := 0
	counts = make([]int64, slots+1)
	for age := range counts {
		if counts[age] = h.counts[(h.newest-int64(age))%int64(len(h.counts))]; counts[age] > 0 {
			last = age + 1
		}
	}
	return counts[:last]
}

func (h *history) sum() (sum int64) {
	for _, n := range h.counts {
		sum += n
	}
	return sum
}

// level returns what the counted requests leave in a bucket that was full one window ago. Each slot counts as if its requests
// came at its end.
func (h *history) level(rate, capacity float64, slot time.Duration) float64 {
	level := capacity
	for age := slots; age >= 0; age-- {
		level = min(capacity, level+rate*slot.Seconds()) - float64(h.counts[(h.newest-int64(age)+int64(len(h.counts)))%int64(len(h.counts))])
	}
	return level
}
