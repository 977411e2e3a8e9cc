package jobstate

import (
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/jobstate/bitset"
)

// PartState is the state of a part.
type PartState string

// States of a part. A part without a record is unclaimed.
const (
	// PartOpen means that items remain; the part may be held or released.
	PartOpen PartState = "open"
	// PartDone means that every item has its result.
	PartDone PartState = "done"
	// PartClosed means that the job ended before every item had its result.
	PartClosed PartState = "closed"
)

// Holder refers to the node lease under which a part is held.
type Holder struct {
	Node string `json:"node"`
	// Lease is the number of the node's lease object (`nodes/NAME`) at the claim.
	Lease int64 `json:"lease"`
}

// ResultRef refers to a stored chunk of results.
type ResultRef struct {
	Key    string `json:"key"`
	Pieces int    `json:"pieces"`
	Items  int    `json:"items"`
}

// Part is the durable record of a part. It changes only by conditional update.
type Part struct {
	Job   string    `json:"job"`
	Index int       `json:"index"`
	Size  int       `json:"size"`
	State PartState `json:"state"`
	// Holder is nil when the part is released, done or closed.
	Holder *Holder `json:"holder,omitempty"`
	// Token is the fencing token; it grows with each claim.
	Token int64 `json:"token"`
	// Sequence counts the writes of this record, so that a write whose answer was lost is recognised.
	Sequence int64 `json:"sequence"`
	// Done has a bit for each item that has its result.
	Done bitset.Set `json:"done,omitempty"`
	// Started has a bit for each non-idempotent item that may have been run.
	Started bitset.Set `json:"started,omitempty"`
	// Attempts counts failed attempts of items that have no result yet.
	Attempts  map[int]int `json:"attempts,omitempty"`
	Completed int         `json:"completed,omitempty"`
	Failed    int         `json:"failed,omitempty"`
	// OutputBytes and ErrorBytes are the sizes of the lines for the output and the error file.
	OutputBytes int64       `json:"output_bytes,omitempty"`
	ErrorBytes  int64       `json:"error_bytes,omitempty"`
	Results     []ResultRef `json:"results,omitempty"`
	// Inline holds compressed results that are too small for a chunk of their own.
	Inline      []byte `json:"inline,omitempty"`
	InlineItems int    `json:"inline_items,omitempty"`
}

// Same reports whether a and b are the same write of a part record: a holder makes at most one write for
// each token and sequence.
func (p Part) Same(o Part) bool {
	return p.Token == o.Token && p.Sequence == o.Sequence && p.State == o.State &&
		(p.Holder == nil) == (o.Holder == nil) && (p.Holder == nil || *p.Holder == *o.Holder)
}

// HeldBy reports whether the part is open and held under this token.
func (p Part) HeldBy(h Holder, token int64) bool {
	return p.State == PartOpen && p.Holder != nil && *p.Holder == h && p.Token == token
}

// Claim gives an open part to h with a larger token. lost reports that the holder's lease is over; the
// caller must have found that out from the store.
func (p Part) Claim(h Holder, lost bool) (Part, error) {
	if p.State != PartOpen && p.State != "" {
		return p, ErrState
	}
	if p.Holder != nil && !lost {
		return p, ErrFenced
	}
	p.State, p.Holder = PartOpen, &h
	p.Token++
	p.Sequence++
	return p, nil
}

// Commit is a group of results and marks that one write makes durable.
type Commit struct {
	// Items are the items with results, each with whether it succeeded.
	Items map[int]bool
	// Attempts are the failed attempts of items without a result, in total.
	Attempts map[int]int
	// Starts are non-idempotent items about to be run.
	Starts []int
	// OutputBytes and ErrorBytes are the sizes of the results of Items.
	OutputBytes, ErrorBytes int64
	// Ref is the stored chunk with the results of Items; if nil, Inline replaces the inline results.
	Ref         *ResultRef
	Inline      []byte
	InlineItems int
}

// Apply records a commit of the holder. An item that already has a result is refused with ErrState, so that
// the caller never stores two results of one item.
func (p Part) Apply(h Holder, token int64, c Commit) (Part, error) {
	if !p.HeldBy(h, token) {
		return p, ErrFenced
	}
	attempts := maps.Clone(p.Attempts)
	if attempts == nil && len(c.Attempts) > 0 {
		attempts = map[int]int{}
	}
	maps.Copy(attempts, c.Attempts)
	members := make([]int, 0, len(c.Items))
	for i, ok := range c.Items {
		if i < 0 || i >= p.Size || p.Done.Has(i) {
			return p, ErrState
		}
		members = append(members, i)
		delete(attempts, i)
		if ok {
			p.Completed++
		} else {
			p.Failed++
		}
	}
	for _, i := range c.Starts {
		if p.Started.Has(i) || p.Done.Has(i) {
			return p, ErrState
		}
	}
	p.Done, p.Started = p.Done.With(members...), p.Started.With(c.Starts...)
	p.Attempts = attempts
	p.OutputBytes += c.OutputBytes
	p.ErrorBytes += c.ErrorBytes
	switch {
	case c.Ref != nil:
		p.Results = append(slices.Clone(p.Results), *c.Ref)
		p.Inline, p.InlineItems = nil, 0
	case c.Inline != nil:
		p.Inline, p.InlineItems = c.Inline, c.InlineItems
	}
	p.Sequence++
	if p.Done.Count() == p.Size {
		p.State, p.Holder, p.Started, p.Attempts = PartDone, nil, nil, nil
	}
	return p, nil
}

// Release gives the part back.
func (p Part) Release(h Holder, token int64) (Part, error) {
	if !p.HeldBy(h, token) {
		return p, ErrFenced
	}
	p.Holder = nil
	p.Sequence++
	return p, nil
}

// Close ends an open part of a job that accepts no more results. It needs no lease: the larger token makes
// every later write of the holder fail.
func (p Part) Close() (Part, bool) {
	if p.State != PartOpen {
		return p, false
	}
	p.State, p.Holder = PartClosed, nil
	p.Token++
	p.Sequence++
	return p, true
}

// Limits of group commits. At 1,000 items a part, a chunk of 200 results costs two writes, so a part costs
// about 12 writes with claim and summary, below the target of 0.02 writes an item.
const (
	CommitItems = 200
	CommitBytes = 1 << 20
	// CommitAgePerItem sets the age at which results are committed in proportion to the part's size: a part of
	// 200 items and more every two minutes, a small one after CommitMinAge. A node of the two-year target runs about
	// 0.5 items/s, so that shorter times would cost far more than 0.02 writes an item; a crash repeats at most
	// the work of this time, or CommitItems items.
	CommitAgePerItem = 600 * time.Millisecond
	CommitMinAge     = 2 * time.Second
	CommitMaxAge     = 2 * time.Minute
	// Fewer than CommitFew results of a large part wait up to CommitFewAge. At 0.5 items/s a part of 250 items then takes
	// one commit beside the last one instead of four. A crash repeats fewer than CommitFew items of a part.
	CommitFew    = 150
	CommitFewAge = 5 * time.Minute
)

// CommitDue reports whether results that wait should be committed: age is that of the oldest, complete
// that no other item of the part remains.
func CommitDue(size, items, bytes int, age time.Duration, complete bool) bool {
	if items == 0 {
		return false
	}
	limit := min(max(time.Duration(size)*CommitAgePerItem, CommitMinAge), CommitMaxAge)
	if limit == CommitMaxAge && items < CommitFew {
		limit = CommitFewAge
	}
	return complete || items >= CommitItems || bytes >= CommitBytes || age >= limit
}
