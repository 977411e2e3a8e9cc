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

// maxInlineBytes bounds the compressed results that are stored in the part record itself. Inline results save the second
// write of small commits; the bound keeps a listing of 530 parts at a few MB.
const maxInlineBytes = 8 << 10

// partsPageSize is the number of part records that one list call returns.
const partsPageSize = 600

func partPrefix(job string) string     { return "parts/" + job + "/" }
func partKey(job string, n int) string { return fmt.Sprintf("%s%06d", partPrefix(job), n) }
func resultPrefix(job string) string   { return "results/" + job + "/" }
func chunkPrefix(p jobstate.Part) string {
	return fmt.Sprintf("%s%06d/%d-%d", resultPrefix(p.Job), p.Index, p.Token, p.Sequence)
}

// DecodePart decodes a stored part record and checks its size.
func DecodePart(value []byte) (jobstate.Part, error) {
	var p jobstate.Part
	if err := json.Unmarshal(value, &p); err != nil {
		return p, Error.Wrap(err)
	}
	if p.Size < 0 || p.Size > jobstate.MaxPartItems || len(p.Done)*8 > jobstate.MaxPartItems+8 {
		return p, Error.New("part record has an invalid size of %d items or a done set that is too long", p.Size)
	}
	return p, nil
}

// Parts returns all part records of a job by index, with one read per partsPageSize parts.
func (s Jobs) Parts(ctx context.Context, job string) (map[int]jobstate.Part, error) {
	parts := map[int]jobstate.Part{}
	after := ""
	for {
		page, err := objects.List(ctx, s.Store, partPrefix(job), after, partsPageSize)
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

// ClaimedPart is a part that this node has claimed. Its methods must not be called concurrently.
type ClaimedPart struct {
	jobs        Jobs
	institution string
	holder      jobstate.Holder
	// valid reports whether this node's lease is valid; it is called immediately before each write.
	valid func() bool

	part     jobstate.Part
	revision int64
	// inflight is a write without a known outcome. It is repeated unchanged until the outcome is known, since a first write
	// that did take effect is recognised by its value.
	inflight *pendingWrite
}

type pendingWrite struct {
	next  jobstate.Part
	value []byte
	// chunk holds compressed results that must be stored before the record, below the key of the last reference in next.
	chunk []byte
}

// Claim claims a part for holder. lost reports whether the store shows that another holder's lease is over; valid reports
// whether this node's own lease is valid. Errors: ErrPartLost (held by another), jobstate.ErrState (done or closed),
// ErrNoLease, ErrJobEnded.
func (s Jobs) Claim(ctx context.Context, j jobstate.Summary, index, size int, holder jobstate.Holder,
	valid func() bool, lost func(context.Context, jobstate.Holder) bool) (*ClaimedPart, error) {
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
		return nil, ErrPartLost
	}
	if err != nil {
		return nil, err
	}
	h := &ClaimedPart{jobs: s, institution: j.Institution, holder: holder, valid: valid, part: part, revision: revision}
	if err := h.writeRecord(ctx, &pendingWrite{next: next}); err != nil {
		return nil, err
	}
	// The job is read after the claim. A node that ends the job first changes its status and then closes the parts, so a
	// claim that was written after the parts were closed finds the new status here or at its first commit.
	if err := h.checkJobAccepts(ctx); err != nil {
		return nil, err
	}
	return h, nil
}

// ReleaseIfHeldBy releases a part whose record names holder, for example after a claim with an unknown outcome. It
// returns the token of the released part, or 0 if the record does not name holder. The part must not have a ClaimedPart
// in use at the same time.
func (s Jobs) ReleaseIfHeldBy(ctx context.Context, job string, index int, holder jobstate.Holder) (int64, error) {
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

// Part returns the part's record as last written.
func (h *ClaimedPart) Part() jobstate.Part { return h.part }

// Unsettled reports whether a write has no known outcome yet.
func (h *ClaimedPart) Unsettled() bool { return h.inflight != nil }

func (h *ClaimedPart) checkJobAccepts(ctx context.Context) error {
	j, err := h.jobs.Get(ctx, h.institution, h.part.Job)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return ErrJobEnded
	case err != nil:
		return err
	case !j.Status.AcceptsResults():
		return ErrJobEnded
	}
	return nil
}

// Group is what one commit makes durable. Indexes of items count from the start of the part.
type Group struct {
	// Items are items with results, each with whether it succeeded.
	Items map[int]bool
	// Lines are the output lines of Items, as line.AppendStored wrote them.
	Lines []byte
	// OutputBytes and ErrorBytes are the sizes of the lines for the output and the error file.
	OutputBytes, ErrorBytes int64
	// Charges holds the new total charge, by index of items without a result; see jobstate.Commit.
	Charges map[int]int
	// Starts holds the indexes of non-idempotent items that are about to run.
	Starts []int
}

// RetryUnsettled repeats the write whose outcome is not known, if there is one. Its errors are those of Commit.
func (h *ClaimedPart) RetryUnsettled(ctx context.Context) error {
	if h.inflight == nil {
		return nil
	}
	if err := h.checkJobAccepts(ctx); err != nil {
		return err
	}
	return h.writeRecord(ctx, h.inflight)
}

// Commit records a group; there must be no unsettled write. After ErrPartLost, ErrJobEnded and errors of jobstate, this
// node can record nothing more for the part. ErrNoLease and store.ErrUnavailable mean that nothing was recorded.
// store.ErrUnknown means that the write is unsettled; RetryUnsettled must succeed before the next commit.
func (h *ClaimedPart) Commit(ctx context.Context, g Group) error {
	if h.inflight != nil {
		return Error.New("commit while an earlier write of the part has no known outcome")
	}
	if err := h.checkJobAccepts(ctx); err != nil {
		return err
	}
	w, err := h.prepareWrite(g)
	if err != nil {
		return err
	}
	return h.writeRecord(ctx, w)
}

func (h *ClaimedPart) prepareWrite(g Group) (*pendingWrite, error) {
	c := jobstate.Commit{Items: g.Items, Charges: g.Charges, Starts: g.Starts,
		OutputBytes: g.OutputBytes, ErrorBytes: g.ErrorBytes}
	w := &pendingWrite{}
	if len(g.Items) > 0 {
		frame, err := objects.Compress(g.Lines)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		// zstd frames may be concatenated, so earlier inline results are prepended without decompressing them.
		frame = append(slices.Clone(h.part.Inline), frame...)
		n := h.part.InlineItems + len(g.Items)
		if len(frame) <= maxInlineBytes {
			c.Inline, c.InlineItems = frame, n
		} else {
			w.chunk = frame
			c.Ref = &jobstate.ResultRef{Key: chunkPrefix(h.part), Pieces: objects.PieceCount(len(frame)), Items: n}
		}
	}
	next, err := h.part.Apply(h.holder, h.part.Token, c)
	if errors.Is(err, jobstate.ErrFenced) {
		return nil, ErrPartLost
	}
	w.next = next
	return w, err
}

// Release releases the part, so that other nodes can claim it. There must be no unsettled write.
func (h *ClaimedPart) Release(ctx context.Context) error {
	next, err := h.part.Release(h.holder, h.part.Token)
	if err != nil {
		return ErrPartLost
	}
	return h.writeRecord(ctx, &pendingWrite{next: next})
}

// writeRecord stores the chunk and then the record. It returns ErrPartLost after a conflict, since then another node has
// written the record.
func (h *ClaimedPart) writeRecord(ctx context.Context, w *pendingWrite) error {
	if w.value == nil {
		value, err := json.Marshal(w.next)
		if err != nil {
			return Error.Wrap(err)
		}
		w.value = value
	}
	if len(w.chunk) > 0 {
		if !h.valid() {
			return ErrNoLease
		}
		ref := w.next.Results[len(w.next.Results)-1]
		_, err := objects.WritePieces(ctx, h.jobs.Store, ref.Key, 0, w.chunk)
		switch {
		case errors.Is(err, store.ErrConflict):
			return ErrPartLost
		case err != nil:
			// The record does not refer to the chunk yet, but the same chunk must be written again: a different one
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
		return ErrNoLease
	}
	rev, err := objects.Update(ctx, h.jobs.Store, partKey(w.next.Job, w.next.Index), w.value, h.revision)
	switch {
	case err == nil:
		h.part, h.revision, h.inflight = w.next, rev, nil
		return nil
	case errors.Is(err, store.ErrConflict):
		return ErrPartLost
	}
	h.inflight = w
	return err
}
