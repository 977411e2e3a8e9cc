// Package jobstate implements the state machines of batch jobs and of their parts, without I/O. Methods take a record
// and return a changed copy. The caller makes the change durable by conditional update.
package jobstate

import (
	"maps"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/decision/jobstate/bitset"
)

// Error is the class of the errors of this package.
var Error = errs.Class("jobstate")

// Errors of transitions, to be tested with errors.Is.
var (
	// ErrState is returned when the state of the record does not allow the transition.
	ErrState = Error.New("transition not allowed in this state")
	// ErrFenced is returned when another holder has the part.
	ErrFenced = Error.New("part is held by another holder")
)

// Status is the state of a job. The names are those of the OpenAI Batch API.
type Status string

// States of a job.
const (
	Validating Status = "validating"
	InProgress Status = "in_progress"
	Finalizing Status = "finalizing"
	Completed  Status = "completed"
	Failed     Status = "failed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Expired    Status = "expired"
)

// Terminal reports whether the status is final.
func (s Status) Terminal() bool {
	return s == Completed || s == Failed || s == Cancelled || s == Expired
}

// AcceptsResults reports whether results of items may be recorded for a job in this status.
func (s Status) AcceptsResults() bool { return s == InProgress }

// Counts holds the number of items of a job and of those that ended.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Job is the durable record of a job. The API shows its times in UTC with a resolution of one second.
type Job struct {
	ID          string            `json:"id"`
	Institution string            `json:"institution"`
	Caller      string            `json:"caller"`
	Endpoint    string            `json:"endpoint"`
	InputFile   string            `json:"input_file"`
	Metadata    map[string]string `json:"metadata,omitempty"`
	// Window is the completion window as the caller wrote it.
	Window string `json:"window"`
	// Key is the store key of the job's idempotency record, or "".
	Key    string `json:"key,omitempty"`
	Status Status `json:"status"`
	// Target is the terminal status that a job in Finalizing or Cancelling moves to.
	Target Status `json:"target,omitempty"`
	Reason string `json:"reason,omitempty"`
	Items  int    `json:"items"`
	Parts  int    `json:"parts"`
	Counts Counts `json:"counts"`

	OutputFile string `json:"output_file,omitempty"`
	ErrorFile  string `json:"error_file,omitempty"`

	Created      time.Time  `json:"created"`
	Deadline     time.Time  `json:"deadline"`
	FinalizingAt *time.Time `json:"finalizing_at,omitempty"`
	CancellingAt *time.Time `json:"cancelling_at,omitempty"`
	EndedAt      *time.Time `json:"ended_at,omitempty"`
}

// Cancel moves a job in Validating or InProgress to Cancelling and reports whether the record changed.
func (j Job) Cancel(now time.Time) (Job, bool, error) {
	switch j.Status {
	case Cancelling, Cancelled:
		return j, false, nil
	case Validating, InProgress:
		j.Status, j.Target, j.CancellingAt = Cancelling, Cancelled, &now
		return j, true, nil
	}
	return j, false, ErrState
}

// Finalize moves a job in Validating or InProgress to Finalizing and reports whether the record changed. target is the
// terminal status that the job takes afterwards.
func (j Job) Finalize(now time.Time, target Status, reason string) (Job, bool, error) {
	switch {
	case j.Status == Finalizing || j.Status == Cancelling || j.Status.Terminal():
		return j, false, nil
	case target != Completed && target != Expired && target != Failed:
		return j, false, ErrState
	}
	j.Status, j.Target, j.Reason, j.FinalizingAt = Finalizing, target, reason, &now
	return j, true, nil
}

// End moves a job in Finalizing or Cancelling to its target status and reports whether the record changed. All its
// parts must be done or closed.
func (j Job) End(now time.Time, counts Counts, output, errorFile string) (Job, bool, error) {
	switch {
	case j.Status.Terminal():
		return j, false, nil
	case j.Status != Finalizing && j.Status != Cancelling:
		return j, false, ErrState
	}
	j.Status, j.Target, j.Counts, j.EndedAt = j.Target, "", counts, &now
	j.OutputFile, j.ErrorFile = output, errorFile
	return j, true, nil
}

// Summary is the compact record of a job that is not in a terminal status (`open/ID`). Every node watches these records to
// find work. They are only hints; the job and part records are authoritative.
type Summary struct {
	ID          string    `json:"id"`
	Institution string    `json:"institution"`
	Caller      string    `json:"caller"`
	InputFile   string    `json:"input_file"`
	Models      []string  `json:"models,omitempty"`
	Services    []string  `json:"services,omitempty"`
	Items       int       `json:"items"`
	Parts       int       `json:"parts"`
	Created     time.Time `json:"created"`
	Deadline    time.Time `json:"deadline"`
	// Done has a bit for each part that is done.
	Done bitset.Set `json:"done,omitempty"`
	// Released maps the index of a released part to the token under which it was released.
	Released map[int]int64 `json:"released,omitempty"`
}

// AllDone reports whether every part is marked done.
func (s Summary) AllDone() bool { return s.Done.Count() >= s.Parts }

// MarkDone marks parts as done and reports whether the summary changed.
func (s Summary) MarkDone(parts ...int) (Summary, bool) {
	changed := false
	released := maps.Clone(s.Released)
	for _, i := range parts {
		changed = changed || !s.Done.Has(i)
		delete(released, i)
	}
	s.Done, s.Released = s.Done.With(parts...), released
	return s, changed
}

// Release marks a part as released under a token and reports whether the summary changed.
func (s Summary) Release(part int, token int64) (Summary, bool) {
	if s.Done.Has(part) || s.Released[part] >= token {
		return s, false
	}
	released := maps.Clone(s.Released)
	if released == nil {
		released = map[int]int64{}
	}
	released[part] = token
	s.Released = released
	return s, true
}
