package jobstate

import (
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/jobstate/bitset"
)

// PartState is the state of a part.
type PartState string

// States of a part. A part without a record has not been claimed yet.
const (
	// PartOpen means that items have no result yet. The part may be held or released.
	PartOpen PartState = "open"
	// PartDone means that every item has its result.
	PartDone PartState = "done"
	// PartClosed means that the job ended before every item had its result.
	PartClosed PartState = "closed"
)

// Holder is the node that holds a part, with its lease.
type Holder struct {
	Node string `json:"node"`
	// Lease is the token of the node's lease (`nodes/NAME`) at the time of the claim.
	Lease int64 `json:"lease"`
}

// ResultRef refers to a stored chunk of results.
type ResultRef struct {
	Key    string `json:"key"`
	Pieces int    `json:"pieces"`
	Items  int    `json:"items"`
}

// Part is the durable record of a part of a job. It changes only by conditional update.
type Part struct {
	Job   string    `json:"job"`
	Index int       `json:"index"`
	Size  int       `json:"size"`
	State PartState `json:"state"`
	// Holder is nil when the part is released, done or closed.
	Holder *Holder `json:"holder,omitempty"`
	// Token is the fencing token; it grows with each claim.
	Token int64 `json:"token"`
	// Sequence counts the writes of this record, so that a write whose answer was lost can be recognised.
	Sequence int64 `json:"sequence"`
	// Done has a bit for each item that has its result.
	Done bitset.Set `json:"done,omitempty"`
	// Started has a bit for each non-idempotent item that may have been run.
	Started bitset.Set `json:"started,omitempty"`
	// Charges holds the charge for failed attempts, as counted by AfterRun, by index of items without a result.
	Charges   map[int]int `json:"attempts,omitempty"`
	Completed int         `json:"completed,omitempty"`
	Failed    int         `json:"failed,omitempty"`
	// OutputBytes and ErrorBytes are the total sizes of the part's lines in the output and the error file.
	OutputBytes int64       `json:"output_bytes,omitempty"`
	ErrorBytes  int64       `json:"error_bytes,omitempty"`
	Results     []ResultRef `json:"results,omitempty"`
	// Inline holds compressed results that are too small for a chunk of their own.
	Inline      []byte `json:"inline,omitempty"`
	InlineItems int    `json:"inline_items,omitempty"`
}

// SameWrite reports whether p and o are the same write of a part record. A holder makes at most one write for each
// token and sequence.
func (p Part) SameWrite(o Part) bool {
	return p.Token == o.Token && p.Sequence == o.Sequence && p.State == o.State &&
		(p.Holder == nil) == (o.Holder == nil) && (p.Holder == nil || *p.Holder == *o.Holder)
}

// HeldBy reports whether the part is open and held under this token.
func (p Part) HeldBy(h Holder, token int64) bool {
	return p.State == PartOpen && p.Holder != nil && *p.Holder == h && p.Token == token
}

// Claim assigns an open part to h with a larger token. holderLost says that the lease of the current holder has ended,
// which the caller must have checked in the store.
func (p Part) Claim(h Holder, holderLost bool) (Part, error) {
	if p.State != PartOpen && p.State != "" {
		return p, ErrState
	}
	if p.Holder != nil && !holderLost {
		return p, ErrFenced
	}
	p.State, p.Holder = PartOpen, &h
	p.Token++
	p.Sequence++
	return p, nil
}

// Commit is a group of results and start marks that one write makes durable.
type Commit struct {
	// Items holds, by index of the items with results, whether the item succeeded.
	Items map[int]bool
	// Charges holds the new total charge, by index of items without a result.
	Charges map[int]int
	// Starts are the indexes of non-idempotent items that are about to be run.
	Starts []int
	// OutputBytes and ErrorBytes are the sizes of the results of Items.
	OutputBytes, ErrorBytes int64
	// Ref is the stored chunk with the inline results and those of Items. If it is nil, Inline, unless nil too,
	// replaces the inline results.
	Ref         *ResultRef
	Inline      []byte
	InlineItems int
}

// Apply applies a commit of the holder. A commit with an item that already has a result fails with ErrState, so that the
// caller never stores two results of one item.
func (p Part) Apply(h Holder, token int64, c Commit) (Part, error) {
	if !p.HeldBy(h, token) {
		return p, ErrFenced
	}
	charges := maps.Clone(p.Charges)
	if charges == nil && len(c.Charges) > 0 {
		charges = map[int]int{}
	}
	maps.Copy(charges, c.Charges)
	doneItems := make([]int, 0, len(c.Items))
	for i, ok := range c.Items {
		if i < 0 || i >= p.Size || p.Done.Has(i) {
			return p, ErrState
		}
		doneItems = append(doneItems, i)
		delete(charges, i)
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
	p.Done, p.Started = p.Done.With(doneItems...), p.Started.With(c.Starts...)
	p.Charges = charges
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
		p.State, p.Holder, p.Started, p.Charges = PartDone, nil, nil, nil
	}
	return p, nil
}

// Release releases the part, so that another node may claim it.
func (p Part) Release(h Holder, token int64) (Part, error) {
	if !p.HeldBy(h, token) {
		return p, ErrFenced
	}
	p.Holder = nil
	p.Sequence++
	return p, nil
}

// Close closes an open part of a job that accepts no more results, and reports whether the record changed. It needs no
// lease, since the larger token makes every later write of the holder fail.
func (p Part) Close() (Part, bool) {
	if p.State != PartOpen {
		return p, false
	}
	p.State, p.Holder = PartClosed, nil
	p.Token++
	p.Sequence++
	return p, true
}

// Limits of group commits. A chunk of 200 results costs two writes, so that a part of 1,000 items costs about 12 writes
// including those for its claim and the summary. This is below the target of 0.02 writes per item.
const (
	CommitItems = 200
	CommitBytes = 1 << 20
	// CommitAgePerItem times the size of the part is the age at which results are committed, within CommitMinAge and
	// CommitMaxAge: a part of 200 or more items commits every two minutes. At the two-year target a node runs about
	// 0.5 items/s, so that shorter times would cost far more than 0.02 writes per item. After a crash, at most the work
	// of this time or CommitItems items are repeated.
	CommitAgePerItem = 600 * time.Millisecond
	CommitMinAge     = 2 * time.Second
	CommitMaxAge     = 2 * time.Minute
	// Of a large part, fewer than LargePartMinItems results wait up to LargePartMaxAge instead. At 0.5 items/s a part
	// of 250 items then takes one commit besides the last one instead of four. After a crash, fewer than
	// LargePartMinItems items of a part are repeated.
	LargePartMinItems = 150
	LargePartMaxAge   = 5 * time.Minute
)

// CommitDue reports whether pending results should be committed. size is the number of items of the part, items and
// bytes the number and size of the pending results, age the age of the oldest one. complete says that no other item of
// the part remains.
func CommitDue(size, items, bytes int, age time.Duration, complete bool) bool {
	if items == 0 {
		return false
	}
	limit := min(max(time.Duration(size)*CommitAgePerItem, CommitMinAge), CommitMaxAge)
	if limit == CommitMaxAge && items < LargePartMinItems {
		limit = LargePartMaxAge
	}
	return complete || items >= CommitItems || bytes >= CommitBytes || age >= limit
}
