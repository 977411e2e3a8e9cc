package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// inlineBytes is the most compressed results that a part record holds itself. It saves the second write of
// small commits, and a listing of 530 parts still stays at a few MB.
const inlineBytes = 8 << 10

// listParts is the number of part records of one listing.
const listParts = 600

func partPrefix(job string) string     { return "parts/" + job + "/" }
func partKey(job string, n int) string { return fmt.Sprintf("%s%06d", partPrefix(job), n) }
func resultPrefix(job string) string   { return "results/" + job + "/" }
func chunkPrefix(p jobstate.Part) string {
	return fmt.Sprintf("%s%06d/%d-%d", resultPrefix(p.Job), p.Index, p.Token, p.Sequence)
}

// DecodePart reads a stored part record.
func DecodePart(value []byte) (jobstate.Part, error) {
	var p jobstate.Part
	if err := json.Unmarshal(value, &p); err != nil {
		return p, Error.Wrap(err)
	}
	if p.Size < 0 || p.Size > jobstate.MaxPartItems || len(p.Done)*8 > jobstate.MaxPartItems+8 {
		return p, Error.New("part record of %d items", p.Size)
	}
	return p, nil
}

// Parts returns all part records of a job by index, with one read for each 600 parts.
func (s Jobs) Parts(ctx context.Context, job string) (map[int]jobstate.Part, error) {
	parts := map[int]jobstate.Part{}
	after := ""
	for {
		page, err := objects.List(ctx, s.Store, partPrefix(job), after, listParts)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			p, err := DecodePart(o.Value)
			if err != nil {
				return nil, err
			}
			parts[p.Index] = p
		}
		if after = page.Next; after == "" {
			return parts, nil
		}
	}
}

// Held is a part that this node has claimed. Its methods must not run at the same time as each other.
type Held struct {
	jobs        Jobs
	institution string
	holder      jobstate.Holder
	// valid reports whether the own lease allows effects; it is asked immediately before each write.
	valid func() bool

	part     jobstate.Part
	revision int64
	// inflight is a write without a known outcome. It is repeated unchanged until the outcome is known, since
	// a changed one could not be recognised.
	inflight *write
}

type write struct {
	next  jobstate.Part
	value []byte
	// chunk is compressed results to be stored first, below the prefix of next's last reference.
	chunk []byte
}

// Claim takes a part for holder. lost decides from the store whether another holder's lease is over.
// Errors: ErrLost (held by another), jobstate.ErrState (done or closed), ErrLease, ErrEnded.
func (s Jobs) Claim(ctx context.Context, j jobstate.Summary, index, size int, holder jobstate.Holder,
	valid func() bool, lost func(context.Context, jobstate.Holder) bool) (*Held, error) {
	part := jobstate.Part{Job: j.ID, Index: index, Size: size}
	var revision int64
	o, err := objects.Get(ctx, s.Store, partKey(j.ID, index))
	switch {
	case err == nil:
		if part, err = DecodePart(o.Value); err != nil {
			return nil, err
		}
		revision = o.Revision
	case !errors.Is(err, store.ErrNotFound):
		return nil, err
	}
	over := part.Holder != nil && (*part.Holder == holder || lost(ctx, *part.Holder))
	next, err := part.Claim(holder, over)
	if errors.Is(err, jobstate.ErrFenced) {
		return nil, ErrLost
	}
	if err != nil {
		return nil, err
	}
	h := &Held{jobs: s, institution: j.Institution, holder: holder, valid: valid, part: part, revision: revision}
	if err := h.write(ctx, &write{next: next}); err != nil {
		return nil, err
	}
	// The job is read after the claim: whoever ends the job first marks it and then closes the parts, so a
	// claim that closing did not see finds the mark here or at its first commit.
	if err := h.accepts(ctx); err != nil {
		return nil, err
	}
	return h, nil
}

// GiveBack releases a part that names holder, whatever wrote that. It returns the token of the released part,
// or 0 if the part does not name holder. No part of the program may hold the part at the same time.
func (s Jobs) GiveBack(ctx context.Context, job string, index int, holder jobstate.Holder) (int64, error) {
	o, err := objects.Get(ctx, s.Store, partKey(job, index))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	p, err := DecodePart(o.Value)
	if err != nil {
		return 0, err
	}
	next, err := p.Release(holder, p.Token)
	if err != nil {
		return 0, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, err = objects.Update(ctx, s.Store, partKey(job, index), value, o.Revision)
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	return p.Token, err
}

// Part returns the record as last written.
func (h *Held) Part() jobstate.Part { return h.part }

// Unsettled reports whether a write has no known outcome yet.
func (h *Held) Unsettled() bool { return h.inflight != nil }

func (h *Held) accepts(ctx context.Context) error {
	j, err := h.jobs.Get(ctx, h.institution, h.part.Job)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return ErrEnded
	case err != nil:
		return err
	case !j.Status.Accepts():
		return ErrEnded
	}
	return nil
}

// Group is what one commit makes durable.
type Group struct {
	// Items are items with results, each with whether it succeeded.
	Items map[int]bool
	// Lines are the output lines of Items, as line.Append wrote them.
	Lines []byte
	// OutputBytes and ErrorBytes are the sizes of the lines for the output and the error file.
	OutputBytes, ErrorBytes int64
	// Attempts are the failed attempts of items without a result.
	Attempts map[int]int
	// Starts are non-idempotent items about to be run.
	Starts []int
}

// Settle repeats the write whose outcome is not known. Errors: as Commit.
func (h *Held) Settle(ctx context.Context) error {
	if h.inflight == nil {
		return nil
	}
	if err := h.accepts(ctx); err != nil {
		return err
	}
	return h.write(ctx, h.inflight)
}

// Commit records a group; there must be no unsettled write. Errors: ErrLost, ErrEnded and jobstate errors mean
// that the part is over for this node; ErrLease and store.ErrUnavailable that nothing was recorded;
// store.ErrUnknown that the write is unsettled and must be settled before the next.
func (h *Held) Commit(ctx context.Context, g Group) error {
	if h.inflight != nil {
		return Error.New("commit with an unsettled write")
	}
	if err := h.accepts(ctx); err != nil {
		return err
	}
	w, err := h.prepare(g)
	if err != nil {
		return err
	}
	return h.write(ctx, w)
}

func (h *Held) prepare(g Group) (*write, error) {
	c := jobstate.Commit{Items: g.Items, Attempts: g.Attempts, Starts: g.Starts,
		OutputBytes: g.OutputBytes, ErrorBytes: g.ErrorBytes}
	w := &write{}
	if len(g.Items) > 0 {
		frame, err := objects.Compress(g.Lines)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		// zstd frames may be concatenated, so earlier inline results move on without being expanded.
		frame = append(slices.Clone(h.part.Inline), frame...)
		n := h.part.InlineItems + len(g.Items)
		if len(frame) <= inlineBytes {
			c.Inline, c.InlineItems = frame, n
		} else {
			w.chunk = frame
			c.Ref = &jobstate.ResultRef{Key: chunkPrefix(h.part), Pieces: objects.Pieces(len(frame)), Items: n}
		}
	}
	next, err := h.part.Apply(h.holder, h.part.Token, c)
	if errors.Is(err, jobstate.ErrFenced) {
		return nil, ErrLost
	}
	w.next = next
	return w, err
}

// Release gives the part back. There must be no unsettled write.
func (h *Held) Release(ctx context.Context) error {
	next, err := h.part.Release(h.holder, h.part.Token)
	if err != nil {
		return ErrLost
	}
	return h.write(ctx, &write{next: next})
}

// write stores the chunk and then the record. A conflict means that another writer had the part since.
func (h *Held) write(ctx context.Context, w *write) error {
	if w.value == nil {
		value, err := json.Marshal(w.next)
		if err != nil {
			return Error.Wrap(err)
		}
		w.value = value
	}
	if len(w.chunk) > 0 {
		if !h.valid() {
			return ErrLease
		}
		ref := w.next.Results[len(w.next.Results)-1]
		_, err := objects.WritePieces(ctx, h.jobs.Store, ref.Key, 0, w.chunk)
		switch {
		case errors.Is(err, store.ErrConflict):
			return ErrLost
		case err != nil:
			// The record does not refer to the chunk yet, but the same chunk must be tried again: another one
			// under the same key would conflict with it.
			h.inflight = w
			return err
		}
		w.chunk = nil
	}
	if !h.valid() {
		if h.inflight != nil || len(w.next.Results) > len(h.part.Results) {
			h.inflight = w
		}
		return ErrLease
	}
	rev, err := objects.Update(ctx, h.jobs.Store, partKey(w.next.Job, w.next.Index), w.value, h.revision)
	switch {
	case err == nil:
		h.part, h.revision, h.inflight = w.next, rev, nil
		return nil
	case errors.Is(err, store.ErrConflict):
		return ErrLost
	}
	h.inflight = w
	return err
}
