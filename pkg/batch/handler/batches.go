package handler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/decision/jobstate"
	"trefoilplank.example/pkg/serving"
)

// Bounds of a batch request and of a listing.
const (
	maxBatchBodyBytes  = 64 << 10
	maxMetadataEntries = 16
	defaultWindow      = 24 * time.Hour
	minWindow          = time.Second
	maxWindow          = 7 * 24 * time.Hour
	defaultLimit       = 20
	maxLimit           = 100
	// fileExpiryMargin is the least time between the deadline of a job and the expiry of its input file.
	fileExpiryMargin = time.Hour
)

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is the OpenAI batch object. Times are seconds of the Unix epoch.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *batchErrors      `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           jobstate.Status   `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        *int64            `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    jobstate.Counts   `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

type batchErrors struct {
	Object string       `json:"object"`
	Data   []batchError `json:"data"`
}

type batchError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func unixSeconds(t *time.Time) *int64 {
	if t == nil {
		return nil
	}
	s := t.Unix()
	return &s
}

func newBatchObject(j jobstate.Job) batchObject {
	b := batchObject{ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.InputFile,
		CompletionWindow: j.Window, Status: j.Status, CreatedAt: j.Created.Unix(), InProgressAt: unixSeconds(&j.Created),
		ExpiresAt: unixSeconds(&j.Deadline), FinalizingAt: unixSeconds(j.FinalizingAt), CancellingAt: unixSeconds(j.CancellingAt),
		RequestCounts: j.Counts, Metadata: j.Metadata}
	b.RequestCounts.Total = j.Items
	if j.OutputFile != "" {
		b.OutputFileID = &j.OutputFile
	}
	if j.ErrorFile != "" {
		b.ErrorFileID = &j.ErrorFile
	}
	switch j.Status {
	case jobstate.Completed:
		b.CompletedAt = unixSeconds(j.EndedAt)
	case jobstate.Expired:
		b.ExpiredAt = unixSeconds(j.EndedAt)
	case jobstate.Cancelled:
		b.CancelledAt = unixSeconds(j.EndedAt)
	case jobstate.Failed:
		b.FailedAt = unixSeconds(j.EndedAt)
		b.Errors = &batchErrors{Object: "list", Data: []batchError{{Code: "failed", Message: j.Reason}}}
	}
	return b
}

func malformed(format string, args ...any) error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, format, args...)
}

// malformedBody returns the error for a body that can't be decoded. It names the field with the wrong type in terms of
// JSON, not of Go.
func malformedBody(err error) error {
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong) && wrong.Field != "":
		return malformed("%s must not be of type %s", wrong.Field, wrong.Value)
	case errors.As(err, &wrong):
		return malformed("the body is not a JSON object but a value of type %s", wrong.Value)
	case errors.Is(err, io.EOF):
		return malformed("the body is empty")
	}
	return malformed("the body is not JSON: %v", err)
}

func (h *Handler) createBatch(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	var req batchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBodyBytes)).Decode(&req); err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return err
		}
		return malformedBody(err)
	}
	key, err := idempotencyKey(r, id, "batches")
	if err != nil {
		return err
	}
	j, err := h.acceptBatch(r.Context(), id, req, key)
	if err != nil {
		return err
	}
	klog.V(1).InfoS("Job accepted", "request", serving.RequestIDFrom(r.Context()), "job", j.ID, "institution", j.Institution,
		"items", j.Items)
	writeJSON(w, r, http.StatusOK, newBatchObject(j))
	return nil
}

// acceptBatch checks a request and makes its job durable. With an idempotency key, the job id is stored under the key
// first, so that the same request sent again to any node finds or completes the same job.
func (h *Handler) acceptBatch(ctx context.Context, id serving.Identity, req batchRequest, key string) (jobstate.Job, error) {
	digest, err := req.digest()
	if err != nil {
		return jobstate.Job{}, err
	}
	jobID := jobstore.NewID()
	earlier, err := h.readKey(ctx, key)
	if err != nil {
		return jobstate.Job{}, unavailableIfUnknown(err)
	}
	if earlier != nil {
		j, err := h.existingJob(ctx, id, earlier, digest)
		if !errors.Is(err, store.ErrNotFound) {
			return j, err
		}
		jobID = earlier.ID
	}
	j, summary, err := h.planJob(ctx, id, req, jobID)
	if err != nil {
		return j, err
	}
	j.Key = key
	if key != "" && earlier == nil {
		stored, err := h.createKey(ctx, key, keyRecord{ID: jobID, Digest: digest})
		if err != nil {
			// The key alone starts no job; the job record, which was not written, does.
			return j, unavailableIfUnknown(err)
		}
		if stored.ID != jobID {
			if stored.Digest != digest {
				return j, keyReusedError()
			}
			j.ID, summary.ID = stored.ID, stored.ID
		}
	}
	return h.jobs.Create(ctx, j, summary)
}

// digest returns a hash of the request to compare it with an earlier one; encoding/json sorts the metadata.
func (b batchRequest) digest() (string, error) {
	value, err := json.Marshal(b)
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:]), err
}

func (h *Handler) existingJob(ctx context.Context, id serving.Identity, earlier *keyRecord, digest string) (jobstate.Job, error) {
	if earlier.Digest != digest {
		return jobstate.Job{}, keyReusedError()
	}
	j, err := h.jobs.Get(ctx, id.Institution, earlier.ID)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		// The first call may have created the job.
		err = store.ErrUnknown
	}
	return j, err
}

// planJob checks a request against its input file and builds the records of the job.
func (h *Handler) planJob(ctx context.Context, id serving.Identity, req batchRequest, jobID string) (jobstate.Job, jobstate.Summary, error) {
	var j jobstate.Job
	var summary jobstate.Summary
	if !supportedEndpoint(req.Endpoint) {
		return j, summary, malformed("endpoint %q is not one that batches support", req.Endpoint)
	}
	if len(req.Metadata) > maxMetadataEntries {
		return j, summary, malformed("metadata has more than %d entries", maxMetadataEntries)
	}
	window, text, err := h.window(id.Institution, req.CompletionWindow)
	if err != nil {
		return j, summary, err
	}
	if req.InputFileID == "" {
		return j, summary, malformed("input_file_id is missing")
	}
	m, err := h.readFile(ctx, id, req.InputFileID)
	if err != nil {
		return j, summary, err
	}
	if m.Purpose != filestore.PurposeBatch {
		return j, summary, malformed("file %s does not have purpose %q", m.ID, filestore.PurposeBatch)
	}
	for _, name := range m.Models {
		if !id.MayUseModel(name) {
			return j, summary, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "model %q is not granted", name)
		}
	}
	for _, name := range m.Services {
		if !id.MayUseService(name) {
			return j, summary, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "service %q is not granted", name)
		}
	}
	now := time.Now().UTC().Truncate(time.Second)
	deadline := now.Add(window)
	if m.Expires.Before(deadline.Add(fileExpiryMargin)) {
		return j, summary, malformed("file %s expires before the completion window ends", m.ID)
	}
	parts := len(jobstate.Plan(m.ChunkLines()))
	j = jobstate.Job{ID: jobID, Institution: id.Institution, Caller: id.Caller, Endpoint: req.Endpoint,
		InputFile: m.ID, Metadata: req.Metadata, Window: text, Status: jobstate.InProgress, Items: m.Lines, Parts: parts,
		Counts: jobstate.Counts{Total: m.Lines}, Created: now, Deadline: deadline}
	summary = jobstate.Summary{ID: jobID, Institution: id.Institution, Caller: id.Caller, InputFile: m.ID, Models: m.Models,
		Services: m.Services, Items: m.Lines, Parts: parts, Created: now, Deadline: deadline}
	return j, summary, nil
}

// supportedEndpoint reports whether a batch may name the endpoint. The lines are checked at the upload of the file and may
// name a different supported endpoint than the batch.
func supportedEndpoint(endpoint string) bool {
	return endpoint == "/v1/chat/completions" || endpoint == "/v1/completions" ||
		strings.HasPrefix(endpoint, "/v1/services/")
}

// window returns the completion window as a duration and as text: the caller's, else that of the institution's rules,
// else 24 h.
func (h *Handler) window(institution, text string) (time.Duration, string, error) {
	if text == "" {
		window := defaultWindow
		if h.Rules != nil {
			if r, ok := h.Rules().ForInstitution(institution); ok && r.CompletionWindow > 0 {
				window = time.Duration(r.CompletionWindow)
			}
		}
		return window, window.String(), nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window < minWindow || window > maxWindow {
		return 0, "", malformed("completion_window must be a time between %v and %v such as 24h", minWindow, maxWindow)
	}
	return window, text, nil
}

// readJob returns a job with the counts recorded so far.
func (h *Handler) readJob(ctx context.Context, id serving.Identity, name string) (jobstate.Job, error) {
	j, err := h.jobs.Get(ctx, id.Institution, name)
	if errors.Is(err, store.ErrNotFound) {
		return j, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such batch")
	}
	if err != nil || j.Status.Terminal() {
		return j, unavailableIfUnknown(err)
	}
	if err := h.addPartCounts(ctx, &j); err != nil {
		return j, unavailableIfUnknown(err)
	}
	return j, nil
}

// addPartCounts adds the counts that the parts of a job have recorded to j. The job must not be final.
func (h *Handler) addPartCounts(ctx context.Context, j *jobstate.Job) error {
	parts, err := h.jobs.Parts(ctx, j.ID)
	if err != nil {
		return err
	}
	for _, p := range parts {
		j.Counts.Completed += p.Completed
		j.Counts.Failed += p.Failed
	}
	return nil
}

func (h *Handler) getBatch(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	j, err := h.readJob(r.Context(), id, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, r, http.StatusOK, newBatchObject(j))
	return nil
}

func (h *Handler) cancelBatch(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	name := r.PathValue("id")
	j, err := h.jobs.Change(r.Context(), id.Institution, name, func(j jobstate.Job) (jobstate.Job, bool, error) {
		return j.Cancel(time.Now().UTC())
	})
	switch {
	case errors.Is(err, jobstate.ErrState):
		return api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun, "batch is already %s", j.Status)
	case errors.Is(err, store.ErrNotFound):
		return api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such batch")
	case err != nil:
		return err
	}
	if j.Status == jobstate.Cancelling && h.Canceller != nil {
		h.Canceller.CancelJob(context.WithoutCancel(r.Context()), jobstate.Summary{ID: j.ID, Institution: j.Institution,
			InputFile: j.InputFile, Items: j.Items, Parts: j.Parts, Created: j.Created, Deadline: j.Deadline})
	}
	if !j.Status.Terminal() {
		if err := h.addPartCounts(r.Context(), &j); err != nil {
			// The cancel is durable, so a failed read is no error; the answer omits the counts.
			klog.V(2).InfoS("Counts of a cancelled batch could not be read", "job", j.ID, "err", err)
		}
	}
	writeJSON(w, r, http.StatusOK, newBatchObject(j))
	return nil
}

// batchList is the OpenAI list object.
type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	FirstID string        `json:"first_id,omitempty"`
	LastID  string        `json:"last_id,omitempty"`
	HasMore bool          `json:"has_more"`
}

// listBatches lists jobs, newest first. A listing omits the counts of running jobs; GET of one job returns them.
func (h *Handler) listBatches(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	limit := defaultLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxLimit {
			return malformed("limit must be between 1 and %d", maxLimit)
		}
	}
	after := r.URL.Query().Get("after")
	if after != "" && !jobstore.ValidID(after) {
		return malformed("after must be the id of a batch")
	}
	jobs, more, err := h.jobs.List(r.Context(), id.Institution, after, limit)
	if err != nil {
		return unavailableIfUnknown(err)
	}
	list := batchList{Object: "list", Data: []batchObject{}, HasMore: more}
	for _, j := range jobs {
		list.Data = append(list.Data, newBatchObject(j))
	}
	if n := len(jobs); n > 0 {
		list.FirstID, list.LastID = jobs[0].ID, jobs[n-1].ID
	}
	writeJSON(w, r, http.StatusOK, list)
	return nil
}
