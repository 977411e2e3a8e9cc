// Package storepacing decides which calls of a node to the store are sent while the store is disrupted.
//
// All calls cost money, refused ones too. After a few failures in a row the circuit of a node opens: one call at a time is sent as a probe, at
// intervals that grow, and all other calls wait for its result. An answer to any call closes the circuit. What the hub says of its own calls
// decides how often a node probes: many nodes need not find out the same.
package storepacing

import "time"

const (
	// failuresToOpen is the number of failures in a row that open the circuit: a single lost answer is common and must delay no other call.
	failuresToOpen = 2
	// firstPause is the pause between the failure that opens the circuit and the first probe. It is short, since a circuit also opens when two
	// answers are lost by chance.
	firstPause = 50 * time.Millisecond
	// maxPause bounds the pause between probes of a node whose hub does not report a disruption, or that is the hub: with the random part and the
	// time until the hub's next answers it leaves one of the two seconds in which all nodes must work again.
	maxPause = 500 * time.Millisecond
	// followerPause is the pause between probes of a node whose hub reports a disruption too. With 60 such nodes one of them notices the store's
	// return within 20 ms on average, which the hub and then all others learn from the reports. With the random part, 1.5 s, it leaves a node that notices alone
	// within two seconds.
	followerPause = 1200 * time.Millisecond
	// probeOverdue is how long a probe may go unanswered before the next one may be sent: the store answers within milliseconds, and a probe that
	// was sent just before the store returned may never be answered.
	probeOverdue = 300 * time.Millisecond
	// settleTime is how long the hub reports a disruption after it has ended: its watches show first that its copies are current, and the
	// other nodes would read the store themselves meanwhile. A watch that was broken reports after 20 ms.
	settleTime = 100 * time.Millisecond
	// catchUpTime is how long a node that has found the store's return before its hub leaves reads to it whose results the hub passes on: the
	// exchange with the hub, the hub's probe, settleTime and the next exchange, 0.3 s later.
	catchUpTime = 900 * time.Millisecond
	// reportTime is how long a node reports that it has found the store's return: the exchange that follows at once, or the next one.
	reportTime = 500 * time.Millisecond
	// answeredLately is how long an answer counts against the hub's report of a disruption.
	answeredLately = 300 * time.Millisecond
	// urgentPart is the part of the pause after which an urgent call may be a probe, so that it is the one that goes first.
	urgentPart = 0.8
)

// Urgency orders the calls that wait.
type Urgency int

// Urgencies, most urgent first.
const (
	// Confirmation is that of calls which confirm the configuration and of registrations.
	Confirmation Urgency = iota
	// Promise is that of writes which callers or accepted jobs wait for.
	Promise
	// Routine is that of all other calls.
	Routine
)

// Outcome is the result of a call that was sent.
type Outcome int

// Outcomes of calls.
const (
	// Answered means that the store has answered, with whatever result.
	Answered Outcome = iota
	// Failed means that the store has refused to serve the call, broken its connection or not answered in time.
	Failed
	// Abandoned means that the caller has given the call up, which says nothing of the store.
	Abandoned
)

// Ticket identifies a call that was sent.
type Ticket struct{ probe int }

// Circuit decides for one node. The zero value is not usable. It is not safe for concurrent use.
type Circuit struct {
	// random returns a number in [0, 1).
	random func() float64
	// failures counts those in a row while the circuit is closed.
	failures int
	open     bool
	// own is set if the circuit was opened by this node's own calls.
	own bool
	// probes counts the probes since the start; unanswered is set while the last one is in progress, sent at probedAt.
	probes     int
	unanswered bool
	probedAt   time.Time
	// failedAt is when the last call failed and answeredAt when the last one was answered. pause is the time from failedAt until the next probe.
	failedAt, answeredAt time.Time
	pause, drawn         time.Duration
	hubDisrupted         bool
	// confirmed is set once a probe of this disruption has failed, and returnedAt is when the last such disruption ended.
	confirmed  bool
	returnedAt time.Time
	// leaveUntil is until when reads are left to the hub.
	leaveUntil time.Time
}

// New returns a closed circuit. random returns numbers in [0, 1).
func New(random func() float64) *Circuit { return &Circuit{random: random} }

// Open reports whether calls have to wait for a probe.
func (c *Circuit) Open() bool { return c.open }

// Disrupted reports whether the store does not answer this node's own calls, or did not until settleTime ago, for the answers of the hub.
func (c *Circuit) Disrupted(now time.Time) bool {
	return c.open && c.own || now.Sub(c.returnedAt) < settleTime
}

// Returned reports whether this node has lately found the store's return before its hub, for the reports to it.
func (c *Circuit) Returned(now time.Time) bool {
	return c.hubDisrupted && !c.open && now.Sub(c.returnedAt) < reportTime
}

// Admit returns whether a call may be sent now. If not, at is when to ask again at the latest; a result of another call can make that earlier.
// passedOn is set for reads whose results the hub passes on while the store answers it.
func (c *Circuit) Admit(u Urgency, passedOn bool, now time.Time) (t Ticket, ok bool, at time.Time) {
	if !c.open {
		if passedOn && now.Before(c.leaveUntil) {
			return Ticket{}, false, c.leaveUntil
		}
		return Ticket{}, true, time.Time{}
	}
	if c.unanswered {
		if at = c.probedAt.Add(probeOverdue); now.Before(at) {
			return Ticket{}, false, at
		}
	}
	pause := c.drawn
	if u < Routine {
		pause = max(firstPause, time.Duration(urgentPart*float64(pause)))
	}
	if at = c.failedAt.Add(min(pause, c.drawn)); now.Before(at) {
		return Ticket{}, false, at
	}
	c.probes++
	c.unanswered, c.probedAt = true, now
	return Ticket{c.probes}, true, time.Time{}
}

// Ended records the outcome of a call that was sent, and reports whether waiting calls share it: they may be sent if it was answered, and have
// failed if a probe did.
func (c *Circuit) Ended(t Ticket, o Outcome, now time.Time) (shared bool) {
	current := t.probe == c.probes && c.unanswered
	switch o {
	case Answered:
		if shared = c.open; c.confirmed {
			c.confirmed, c.returnedAt = false, now
			if c.hubDisrupted {
				c.leaveUntil = now.Add(catchUpTime)
			}
		}
		c.open, c.own, c.unanswered, c.failures, c.answeredAt = false, false, false, 0, now
	case Abandoned:
		if c.open && current {
			c.unanswered = false // Another call takes its place at once.
		}
	case Failed:
		switch {
		case !c.open:
			if c.failures++; c.failures >= failuresToOpen {
				c.open, c.own, c.failures, c.failedAt = true, true, 0, now
				c.setPause(firstPause)
			}
		case t.probe > 0 && current:
			c.unanswered, c.own, c.confirmed, c.failedAt, shared = false, true, true, now, true
			c.setPause(2 * c.pause)
		}
	}
	return shared
}

// setPause sets the pause before the next probe, with up to half of it added or subtracted at random.
func (c *Circuit) setPause(pause time.Duration) {
	c.pause = min(pause, maxPause)
	if c.hubDisrupted && c.confirmed {
		c.pause = followerPause // The hub's calls and this node's own agree.
	}
	c.drawn = time.Duration((0.75 + 0.5*c.random()) * float64(c.pause))
}

// HubReports takes over whether the hub, another node, finds the store disrupted; false too if there is no answer of a hub, which hubKnown says.
// When a disruption begins, the next call of this node is a probe that the others wait for. When it ends at the hub, this node probes at
// once. It reports whether calls that wait must ask again.
func (c *Circuit) HubReports(disrupted, hubKnown bool, now time.Time) bool {
	before := c.hubDisrupted
	c.hubDisrupted = disrupted
	if !disrupted {
		c.leaveUntil = time.Time{}
	}
	switch {
	case disrupted == before:
		return false
	case disrupted && !c.open && now.Sub(c.answeredAt) >= answeredLately:
		c.open, c.failures, c.unanswered, c.failedAt = true, 0, false, now
		c.pause, c.drawn = firstPause, 0
	case !disrupted && c.open && hubKnown:
		c.probeNow()
	case !disrupted:
		c.drawn, c.pause = min(c.drawn, maxPause), min(c.pause, maxPause)
	}
	return !disrupted
}

// NodeReturned records at the hub that the store has answered another node to which it did not answer before. It reports whether calls that
// wait must ask again.
func (c *Circuit) NodeReturned(now time.Time) bool {
	if !c.open || now.Sub(c.failedAt) < firstPause {
		return false
	}
	c.probeNow()
	return true
}

func (c *Circuit) probeNow() { c.unanswered, c.pause, c.drawn = false, firstPause, 0 }
