package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// abandonedAfter is the age at which a summary without a job record is removed. Creating a job takes seconds.
const abandonedAfter = 10 * time.Minute

// Finish moves a job to its final state if all its parts are done, it was cancelled, or its deadline is over. Otherwise it
// returns ErrNotDone with the part records of the job. Each step may be repeated, and several nodes may do so at once.
func (s Jobs) Finish(ctx context.Context, summary jobstate.Summary, now time.Time, retention time.Duration) (map[int]jobstate.Part, error) {
	j, err := s.Get(ctx, summary.Institution, summary.ID)
	if errors.Is(err, store.ErrNotFound) {
		return nil, s.abandonCreation(ctx, summary, now)
	}
	if err != nil || j.Status.Terminal() {
		if err == nil {
			err = s.clear(ctx, j)
		}
		return nil, err
	}
	var parts map[int]jobstate.Part
	if j.Status.AcceptsResults() {
		if parts, err = s.Parts(ctx, j.ID); err != nil {
			return nil, err
		}
		target, reason := jobstate.Completed, "every item has its result"
		if !allDone(j, parts) {
			if now.Before(j.Deadline) {
				return parts, ErrNotDone
			}
			target, reason = jobstate.Expired, "completion window is over"
		}
		j, err = s.Change(ctx, j.Institution, j.ID, func(j jobstate.Job) (jobstate.Job, bool, error) {
			return j.Finalize(now.UTC(), target, reason)
		})
		if err != nil {
			return parts, err
		}
	}
	return parts, s.endJob(ctx, j, now, retention)
}

func allDone(j jobstate.Job, parts map[int]jobstate.Part) bool {
	done := 0
	for _, p := range parts {
		if p.State == jobstate.PartDone {
			done++
		}
	}
	return done == j.Parts
}

// endJob closes the remaining parts, creates the records of the output files and moves the job to its final state.
func (s Jobs) endJob(ctx context.Context, j jobstate.Job, now time.Time, retention time.Duration) error {
	parts, err := s.closeParts(ctx, j.ID)
	if err != nil {
		return err
	}
	counts := jobstate.Counts{Total: j.Items}
	var outputBytes, errorBytes int64
	for _, p := range parts {
		counts.Completed += p.Completed
		counts.Failed += p.Failed
		outputBytes += p.OutputBytes
		errorBytes += p.ErrorBytes
	}
	if j.Target == jobstate.Expired {
		counts.Failed = counts.Total - counts.Completed
	}
	var output, failed string
	if counts.Completed > 0 {
		output = OutputFile(j.ID)
		if err := s.createFile(ctx, j, output, false, outputBytes, retention); err != nil {
			return err
		}
	}
	if counts.Failed > 0 {
		failed = ErrorFile(j.ID)
		if err := s.createFile(ctx, j, failed, true, errorBytes, retention); err != nil {
			return err
		}
	}
	j, err = s.Change(ctx, j.Institution, j.ID, func(j jobstate.Job) (jobstate.Job, bool, error) {
		return j.End(now.UTC(), counts, output, failed)
	})
	if err != nil {
		return err
	}
	return s.clear(ctx, j)
}

// closeParts closes the open parts of a job that accepts no results, and returns all parts. Afterwards no write of a
// holder takes effect.
func (s Jobs) closeParts(ctx context.Context, job string) (map[int]jobstate.Part, error) {
	for {
		parts, err := s.Parts(ctx, job)
		if err != nil {
			return nil, err
		}
		open := 0
		for _, p := range parts {
			if p.State == jobstate.PartOpen {
				open++
				if err := s.closePart(ctx, job, p.Index); err != nil {
					return nil, err
				}
			}
		}
		if open == 0 {
			return parts, nil
		}
	}
}

func (s Jobs) closePart(ctx context.Context, job string, index int) error {
	o, err := objects.Get(ctx, s.Store, partKey(job, index))
	if err != nil {
		return err
	}
	p, err := DecodePart(o.Value)
	if err != nil {
		return err
	}
	next, changed := p.Close()
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = objects.Update(ctx, s.Store, partKey(job, index), value, o.Revision)
	if errors.Is(err, store.ErrConflict) {
		// The holder has changed the record; the caller lists the parts again.
		return nil
	}
	return err
}

// createFile creates the record of an output or error file. The record depends only on the job, so that two nodes that
// end the job write the same.
func (s Jobs) createFile(ctx context.Context, j jobstate.Job, id string, failed bool, bytes int64, retention time.Duration) error {
	created := j.Created
	for _, t := range []*time.Time{j.CancellingAt, j.FinalizingAt} {
		if t != nil {
			created = *t
		}
	}
	name := j.ID + "_output.jsonl"
	if failed {
		name = j.ID + "_error.jsonl"
	}
	err := filestore.Create(ctx, s.Store, &filestore.Meta{
		ID: id, Institution: j.Institution, Caller: j.Caller, Filename: name, Purpose: filestore.PurposeOutput,
		Bytes: bytes, Created: created, Expires: created.Add(retention), Job: j.ID, Errors: failed,
	})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// clear stores the record by which retention finds a final job, and removes the job's summary.
func (s Jobs) clear(ctx context.Context, j jobstate.Job) error {
	e := EndedJob{ID: j.ID, Institution: j.Institution, At: j.Created}
	if j.EndedAt != nil {
		e.At = *j.EndedAt
	}
	value, err := json.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := objects.Create(ctx, s.Store, EndedPrefix+j.ID, value); err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	return objects.Delete(ctx, s.Store, OpenPrefix+j.ID)
}

// abandonCreation removes a summary whose job record was not written within abandonedAfter. It first writes the job
// record with status failed, so that a creation that is only slow can't write it any more: an accepted job always has
// a summary.
func (s Jobs) abandonCreation(ctx context.Context, summary jobstate.Summary, now time.Time) error {
	if now.Sub(summary.Created) < abandonedAfter {
		return nil
	}
	created := summary.Created
	j := jobstate.Job{ID: summary.ID, Institution: summary.Institution, Caller: summary.Caller, InputFile: summary.InputFile,
		Status: jobstate.Failed, Reason: "creation was not completed", Created: created, Deadline: summary.Deadline,
		EndedAt: &created}
	value, err := json.Marshal(j)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = objects.Create(ctx, s.Store, jobKey(j.Institution, j.ID), value)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.clear(ctx, j)
}

// removePageSize is the page size of the listings while a job is removed; results are up to 1 MB each.
const removePageSize = 8

// Remove deletes a final job with its results and output files. The job record and the record for retention go last, so
// that an interrupted removal is repeated.
func (s Jobs) Remove(ctx context.Context, e EndedJob) error {
	if !ValidID(e.ID) {
		return Error.New("invalid job id")
	}
	j, err := s.Get(ctx, e.Institution, e.ID)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return err
	case !j.Status.Terminal():
		return nil
	}
	for _, prefix := range []string{resultPrefix(e.ID), partPrefix(e.ID)} {
		if err := s.removeAll(ctx, prefix); err != nil {
			return err
		}
	}
	keys := []string{filestore.MetaKey(OutputFile(e.ID)), filestore.MetaKey(ErrorFile(e.ID))}
	if j.Key != "" {
		keys = append(keys, j.Key)
	}
	for _, key := range append(keys, jobKey(e.Institution, e.ID), EndedPrefix+e.ID) {
		if err := objects.Delete(ctx, s.Store, key); err != nil {
			return err
		}
	}
	return nil
}

func (s Jobs) removeAll(ctx context.Context, prefix string) error {
	for {
		page, err := objects.List(ctx, s.Store, prefix, "", removePageSize)
		if err != nil || len(page.Objects) == 0 {
			return err
		}
		for _, o := range page.Objects {
			if err := objects.Delete(ctx, s.Store, o.Key); err != nil {
				return err
			}
		}
	}
}
