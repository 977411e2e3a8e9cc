package quota

import "time"

// Waiting is the part of a job that waits: the route that limits it and the tokens of its unfinished items.
type Waiting struct {
	Route  string
	Tokens int64
}

// Reservation asks whether a job fits into the limit of its route.
type Reservation struct {
	Job, Route    string
	Tokens, Limit int64
}

// reservationLifetime is how long a reserved job counts before its owner reports it: longer than accepting a job takes while
// the store is slow.
const reservationLifetime = 4 * time.Second

// Ledger holds what the nodes report of their jobs, and the jobs that are about to be accepted. It tells in advance most of
// the jobs that do not fit, without a call to the store; the order of the claims in the store decides. It is not safe for
// concurrent use.
type Ledger struct {
	reports  map[string]map[string]Waiting
	reserved map[string]reserved
}

type reserved struct {
	Waiting
	at time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{reports: map[string]map[string]Waiting{}, reserved: map[string]reserved{}}
}

// Report replaces what a node reports of its jobs, by job.
func (l *Ledger) Report(node string, jobs map[string]Waiting) {
	for job := range jobs {
		delete(l.reserved, job)
	}
	if len(jobs) == 0 {
		delete(l.reports, node)
		return
	}
	l.reports[node] = jobs
}

// Tokens returns the waiting tokens of all reported jobs, by job. A job that moved between nodes may be in two reports; both
// are upper bounds, since jobs only shrink.
func (l *Ledger) Tokens() map[string]int64 {
	tokens := map[string]int64{}
	for _, jobs := range l.reports {
		for job, w := range jobs {
			if known, ok := tokens[job]; !ok || w.Tokens < known {
				tokens[job] = w.Tokens
			}
		}
	}
	return tokens
}

// Reserve reserves the tokens of a job if it fits beside the reported and reserved jobs of its route, and returns by how
// much it exceeds the limit otherwise.
func (l *Ledger) Reserve(r Reservation, now time.Time) (excess int64) {
	delete(l.reserved, r.Job)
	tokens := l.Tokens()
	sum := int64(0)
	counted := map[string]bool{r.Job: true}
	for _, jobs := range l.reports {
		for job, w := range jobs {
			if w.Route == r.Route && !counted[job] {
				counted[job] = true
				sum += tokens[job]
			}
		}
	}
	for job, w := range l.reserved {
		if now.Sub(w.at) > reservationLifetime {
			delete(l.reserved, job)
		} else if w.Route == r.Route {
			sum += w.Tokens
		}
	}
	if excess = max(0, sum+r.Tokens-r.Limit); excess == 0 {
		l.reserved[r.Job] = reserved{Waiting{r.Route, r.Tokens}, now}
	}
	return excess
}
