// Package jobstore stores jobs and their parts in the object store and applies the state transitions of package jobstate
// to them.
//
// Objects: `jobs/INSTITUTION/TIME-ID` (job, newest first), `open/ID` (summary of a job that is not final),
// `ended/ID` (final job, for retention), `parts/ID/N`, `results/ID/N/...` and `keys/...` (idempotency keys).
package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"regexp"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Error is the class of the errors of this package.
var Error = errs.Class("jobstore")

// Errors of this package in addition to those of the store; test with errors.Is.
var (
	// ErrJobEnded means that the job accepts no more results.
	ErrJobEnded = Error.New("job accepts no more results")
	// ErrPartLost means that this node does not hold the part; results that were not recorded must be discarded.
	ErrPartLost = Error.New("part is no longer held")
	// ErrNoLease means that this node's lease is not valid now, so nothing may be written.
	ErrNoLease = Error.New("node holds no valid lease")
	// ErrNotDone means that a job has items without a result.
	ErrNotDone = Error.New("job has unfinished parts")
)

// Store prefixes of jobs, summaries of open jobs, and ended jobs.
const (
	JobPrefix   = "jobs/"
	OpenPrefix  = "open/"
	EndedPrefix = "ended/"
)

var idPattern = regexp.MustCompile(`^batch_[0-7][0-9A-HJKMNP-TV-Z]{25}$`)

// NewID returns a new job id; ids sort by the time of their creation.
func NewID() string { return "batch_" + ulid.Make().String() }

// ValidID reports whether id has the form of a job id, so that it is safe in a store key.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// ULID returns a job id without its prefix "batch_".
func ULID(id string) string { return id[len("batch_"):] }

// institutionPrefix returns the store prefix of the institution's jobs.
func institutionPrefix(institution string) string {
	return JobPrefix + url.PathEscape(institution) + "/"
}

// jobKey returns the store key of a job. Its time part is inverted, so that a listing returns the newest job first.
func jobKey(institution, id string) string {
	t, err := ulid.ParseStrict(ULID(id))
	if err != nil {
		return institutionPrefix(institution) + "invalid"
	}
	return fmt.Sprintf("%s%012x-%s", institutionPrefix(institution), ulid.MaxTime()-t.Time(), id)
}

// OutputFile returns the id of the file with the answers of a job.
func OutputFile(id string) string { return "file-" + ULID(id) + "-output" }

// ErrorFile returns the id of the file with the failed items of a job.
func ErrorFile(id string) string { return "file-" + ULID(id) + "-error" }

// Jobs reads and writes the records of jobs, summaries and parts.
type Jobs struct {
	Store store.Store
}

// Create makes a job and its summary durable and returns the stored job. The summary is written first: no node would find
// a job without a summary, while a summary without a job is removed later. Creating the same job again is no error.
func (s Jobs) Create(ctx context.Context, j jobstate.Job, summary jobstate.Summary) (jobstate.Job, error) {
	value, err := json.Marshal(summary)
	if err != nil {
		return j, Error.Wrap(err)
	}
	_, err = objects.Create(ctx, s.Store, OpenPrefix+j.ID, value)
	switch {
	case errors.Is(err, store.ErrConflict):
		// An earlier attempt to create the same job wrote the summary, and parts may have been marked done in it since.
	case errors.Is(err, store.ErrUnknown):
		// Without the job record the summary has no effect.
		return j, store.ErrUnavailable
	case err != nil:
		return j, err
	}
	if value, err = json.Marshal(j); err != nil {
		return j, Error.Wrap(err)
	}
	_, err = objects.Create(ctx, s.Store, jobKey(j.Institution, j.ID), value)
	if errors.Is(err, store.ErrConflict) {
		j, err = s.Get(ctx, j.Institution, j.ID)
		if err != nil {
			// The conflict shows that the job exists, although it could not be read.
			err = store.ErrUnknown
		}
	}
	return j, err
}

// Get reads a job; the error is store.ErrNotFound if there is none.
func (s Jobs) Get(ctx context.Context, institution, id string) (jobstate.Job, error) {
	j, _, err := s.get(ctx, institution, id)
	return j, err
}

func (s Jobs) get(ctx context.Context, institution, id string) (jobstate.Job, int64, error) {
	if !ValidID(id) {
		return jobstate.Job{}, 0, store.ErrNotFound
	}
	o, err := objects.Get(ctx, s.Store, jobKey(institution, id))
	if err != nil {
		return jobstate.Job{}, 0, err
	}
	j, err := DecodeJob(o.Value)
	return j, o.Revision, err
}

// DecodeJob decodes a stored job record.
func DecodeJob(value []byte) (jobstate.Job, error) {
	var j jobstate.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return j, Error.Wrap(err)
	}
	return j, nil
}

// List returns up to limit jobs of the institution, newest first, that come after the job with id after, and
// whether there are more.
func (s Jobs) List(ctx context.Context, institution, after string, limit int) ([]jobstate.Job, bool, error) {
	if after != "" {
		if !ValidID(after) {
			return nil, false, store.ErrNotFound
		}
		after = jobKey(institution, after)
	}
	page, err := objects.List(ctx, s.Store, institutionPrefix(institution), after, limit)
	if err != nil {
		return nil, false, err
	}
	jobs := make([]jobstate.Job, 0, len(page.Objects))
	for _, o := range page.Objects {
		j, err := DecodeJob(o.Value)
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, j)
	}
	return jobs, page.Next != "", nil
}

// Change applies a transition to a job by conditional update and returns the changed job, or the stored job if the
// transition fails or changes nothing. It applies the transition again if another node has changed the job meanwhile.
func (s Jobs) Change(ctx context.Context, institution, id string,
	transition func(jobstate.Job) (jobstate.Job, bool, error)) (jobstate.Job, error) {
	for {
		j, rev, err := s.get(ctx, institution, id)
		if err != nil {
			return j, err
		}
		next, changed, err := transition(j)
		if err != nil || !changed {
			return j, err
		}
		value, err := json.Marshal(next)
		if err != nil {
			return j, Error.Wrap(err)
		}
		_, err = objects.Update(ctx, s.Store, jobKey(institution, id), value, rev)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		return next, err
	}
}

// Summary reads a summary and its revision.
func (s Jobs) Summary(ctx context.Context, id string) (jobstate.Summary, int64, error) {
	o, err := objects.Get(ctx, s.Store, OpenPrefix+id)
	if err != nil {
		return jobstate.Summary{}, 0, err
	}
	summary, err := DecodeSummary(o.Value)
	return summary, o.Revision, err
}

// DecodeSummary decodes a stored summary.
func DecodeSummary(value []byte) (jobstate.Summary, error) {
	var summary jobstate.Summary
	if err := json.Unmarshal(value, &summary); err != nil {
		return summary, Error.Wrap(err)
	}
	return summary, nil
}

// ChangeSummary applies a change to a summary by conditional update. change may be called several times. It is no error
// if the summary no longer exists.
func (s Jobs) ChangeSummary(ctx context.Context, id string, change func(jobstate.Summary) (jobstate.Summary, bool)) error {
	for {
		summary, rev, err := s.Summary(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		next, changed := change(summary)
		if !changed {
			return nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return Error.Wrap(err)
		}
		_, err = objects.Update(ctx, s.Store, OpenPrefix+id, value, rev)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		return err
	}
}

// EndedJob is the record by which retention finds a final job.
type EndedJob struct {
	ID          string    `json:"id"`
	Institution string    `json:"institution"`
	At          time.Time `json:"at"`
}
