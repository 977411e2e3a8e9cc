package jobstore

import (
	"bytes"
	"context"
	"errors"
	"io"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// WriteContent writes the lines of an input, output or error file to w. At most one chunk is in memory at a time.
func (s Jobs) WriteContent(ctx context.Context, m *filestore.Meta, w io.Writer) error {
	if m.Job == "" {
		for c := range m.Chunks {
			data, err := filestore.ReadChunk(ctx, s.Store, m, c)
			if err != nil {
				return err
			}
			if _, err := w.Write(data); err != nil {
				return err
			}
		}
		return nil
	}
	j, err := s.Get(ctx, m.Institution, m.Job)
	if err != nil {
		return err
	}
	after := ""
	for {
		page, err := objects.List(ctx, s.Store, partPrefix(m.Job), after, partsPageSize)
		if err != nil {
			return err
		}
		for _, o := range page.Objects {
			p, err := DecodePart(o.Value)
			if err != nil {
				return err
			}
			if err := s.writePart(ctx, p, m.Errors, w); err != nil {
				return err
			}
		}
		if after = page.Next; after == "" {
			break
		}
	}
	if m.Errors && j.Status == jobstate.Expired {
		return s.writeExpired(ctx, j, w)
	}
	return nil
}

func (s Jobs) writePart(ctx context.Context, p jobstate.Part, failed bool, w io.Writer) error {
	// The results of a commit have any size: they collect while the store is down, and an answer may have tens of megabytes.
	copyLines := func(frames []byte) error {
		return Error.Wrap(objects.DecompressStream(frames, func(r io.Reader) error { return line.CopyStored(w, r, failed) }))
	}
	if failed && p.Failed == 0 || !failed && p.Completed == 0 {
		return nil
	}
	for _, ref := range p.Results {
		frames, err := objects.ReadFrames(ctx, s.Store, ref.Key, 0, ref.Pieces)
		if err != nil {
			return err
		}
		if err := copyLines(frames); err != nil {
			return err
		}
	}
	if len(p.Inline) == 0 {
		return nil
	}
	return copyLines(p.Inline)
}

// writeExpired writes an error line for each item that had no result at the end of the completion window.
func (s Jobs) writeExpired(ctx context.Context, j jobstate.Job, w io.Writer) error {
	input, err := filestore.Get(ctx, s.Store, j.InputFile)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	parts, err := s.Parts(ctx, j.ID)
	if err != nil {
		return err
	}
	chunk, lines := -1, [][]byte(nil)
	for n, r := range jobstate.Plan(input.ChunkLines()) {
		p := parts[n]
		if p.State == jobstate.PartDone {
			continue
		}
		if r.Chunk != chunk {
			data, err := filestore.ReadChunk(ctx, s.Store, input, r.Chunk)
			if err != nil {
				return err
			}
			chunk, lines = r.Chunk, bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
		}
		for i := range r.Size {
			if p.Done.Has(i) || r.First+i >= len(lines) {
				continue
			}
			if err := writeExpiredItem(j, r.Item+i, lines[r.First+i], p.Token > 0, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeExpiredItem(j jobstate.Job, n int, raw []byte, claimed bool, w io.Writer) error {
	item, err := line.Parse(raw)
	if err != nil {
		return Error.Wrap(err)
	}
	f := &line.Failure{Code: "batch_expired", Outcome: api.NotRun,
		Message: "the completion window ended before the item had a result"}
	if claimed {
		// The part was claimed, so the item may have run although no result was recorded.
		f.Outcome = api.Unknown
	}
	text, err := line.AppendStored(nil, &line.Output{ID: line.OutputID(j.ID, n), CustomID: item.CustomID, Error: f})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = w.Write(text[1:])
	return err
}
