package handler

import (
	"context"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/serving"
)

// maxUploadTime bounds one upload; retention removes the data of uploads that were not completed.
const maxUploadTime = 6 * time.Hour

// cleanupTimeout bounds the cleanup after an upload; retention removes what remains.
const cleanupTimeout = 30 * time.Second

// fileObject is the OpenAI file object.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(m *filestore.Meta) fileObject {
	return fileObject{ID: m.ID, Object: "file", Bytes: m.Bytes, CreatedAt: m.Created.Unix(),
		ExpiresAt: m.Expires.Unix(), Filename: m.Filename, Purpose: m.Purpose, Status: "processed"}
}

func (h *Handler) createFile(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	reader, err := r.MultipartReader()
	if err != nil {
		return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, "body is not multipart/form-data: %v", err)
	}
	ctx, stop := context.WithTimeout(r.Context(), maxUploadTime)
	defer stop()
	key, err := idempotencyKey(r, id, "files")
	if err != nil {
		return err
	}
	earlier, err := h.readKey(ctx, key)
	if err != nil {
		return unavailableIfUnknown(err)
	}
	now := time.Now().UTC().Truncate(time.Second)
	m := &filestore.Meta{ID: filestore.NewID(), Institution: id.Institution, Caller: id.Caller, Key: key,
		Purpose: filestore.PurposeBatch, Created: now, Expires: now.Add(h.Retention)}
	u := &filestore.Upload{Store: h.Store, Meta: m, Models: id.Grants.Models, Services: id.Grants.Services,
		DigestOnly: earlier != nil}
	err = readForm(ctx, reader, u)
	var findings filestore.Findings
	switch {
	case earlier != nil && errors.As(err, &findings):
		// The body of the earlier upload was valid, so this one differs from it.
		err = keyReusedError()
	case err == nil && earlier != nil:
		m, err = h.existingFile(ctx, earlier, m.Digest)
	case err == nil:
		m, err = h.acceptFile(ctx, m)
	}
	if !u.DigestOnly {
		// An upload with an unknown outcome may have been accepted, so retention cleans it up, as it does if there is no time left.
		if err == nil || !errors.Is(err, store.ErrUnknown) && !drain.Ended(ctx) {
			h.cleanUpUpload(ctx, u.Meta.ID, err == nil && m.ID == u.Meta.ID)
		}
	}
	if err != nil {
		return err
	}
	writeJSON(w, r, http.StatusOK, newFileObject(m))
	return nil
}

// unavailableIfUnknown replaces errors of unknown outcome by store.ErrUnavailable. It is used for calls that precede the
// write that makes a file or job exist, since until then nothing was accepted.
func unavailableIfUnknown(err error) error {
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return store.ErrUnavailable
	}
	return err
}

// cleanUpUpload removes what an upload left in the store besides an accepted file. A failure is no error for the caller,
// since retention tries again.
func (h *Handler) cleanUpUpload(ctx context.Context, id string, accepted bool) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer stop()
	if err := filestore.CleanUpUpload(ctx, h.Store, id, accepted); err != nil {
		klog.V(2).InfoS("Could not remove the remaining data of an upload; retention removes it later", "file", id, "err", err)
	}
}

// readForm reads the form's fields "purpose" and "file" in any order and ignores others.
func readForm(ctx context.Context, reader *multipart.Reader, u *filestore.Upload) error {
	purpose, found := "", false
	for {
		part, err := reader.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return malformedForm(err)
		}
		switch part.FormName() {
		case "purpose":
			const maxPurpose = 64
			b, err := io.ReadAll(io.LimitReader(part, maxPurpose))
			if err != nil {
				return malformedForm(err)
			}
			purpose = string(b)
		case "file":
			if found {
				return malformedForm(errors.New("more than one file"))
			}
			found, u.Meta.Filename = true, part.FileName()
			body := &formReader{r: part}
			if err := u.Read(ctx, body); err != nil {
				if body.err != nil {
					return malformedForm(body.err)
				}
				return uploadError(err)
			}
		}
	}
	switch {
	case purpose != filestore.PurposeBatch:
		return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, "purpose must be %q", filestore.PurposeBatch)
	case !found:
		return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, "the form has no file")
	}
	return nil
}

// uploadError converts the error of an upload whose record was not written, so that nothing was accepted.
func uploadError(err error) error {
	var findings filestore.Findings
	if errors.As(err, &findings) || errors.Is(err, filestore.ErrTooLarge) {
		return err
	}
	return unavailableIfUnknown(err)
}

// formReader stores the read error of the caller's connection, to distinguish it from store errors.
type formReader struct {
	r   io.Reader
	err error
}

func (f *formReader) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		f.err = err
	}
	return n, err
}

func malformedForm(err error) error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, "reading the form: %v", err)
}

// acceptFile makes the file's record durable, then its idempotency key. Of several uploads with the same key, the file
// that the stored key names is the accepted one.
func (h *Handler) acceptFile(ctx context.Context, m *filestore.Meta) (*filestore.Meta, error) {
	if err := filestore.Create(ctx, h.Store, m); err != nil {
		return nil, err
	}
	if m.Key == "" {
		return m, nil
	}
	stored, err := h.createKey(ctx, m.Key, keyRecord{ID: m.ID, Digest: m.Digest})
	if err != nil {
		return nil, err
	}
	if stored.ID == m.ID {
		return m, nil
	}
	return h.existingFile(ctx, stored, m.Digest)
}

// existingFile returns the file of an earlier upload with the same key, or an error if its content differs.
func (h *Handler) existingFile(ctx context.Context, earlier *keyRecord, digest string) (*filestore.Meta, error) {
	if earlier.Digest != digest {
		return nil, keyReusedError()
	}
	return filestore.Get(ctx, h.Store, earlier.ID)
}

// readFile returns the record of a file of the caller's institution.
func (h *Handler) readFile(ctx context.Context, id serving.Identity, name string) (*filestore.Meta, error) {
	m, err := filestore.Get(ctx, h.Store, name)
	if err == nil && m.Institution != id.Institution {
		err = store.ErrNotFound
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such file")
	}
	return m, unavailableIfUnknown(err)
}

func (h *Handler) getFile(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	m, err := h.readFile(r.Context(), id, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, r, http.StatusOK, newFileObject(m))
	return nil
}

func (h *Handler) getContent(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	m, err := h.readFile(r.Context(), id, r.PathValue("id"))
	if err != nil {
		return err
	}
	out := &contentWriter{w: w, requestID: serving.RequestIDFrom(r.Context())}
	err = h.jobs.WriteContent(r.Context(), m, out)
	switch {
	case err != nil && !out.started:
		return unavailableIfUnknown(err)
	case err != nil:
		// The status line was sent, so closing the connection is the only way to report that the content is incomplete.
		klog.ErrorS(err, "Could not read the complete content of a file; closing the caller's connection", "file", m.ID)
		panic(http.ErrAbortHandler)
	}
	out.start()
	return nil
}

// contentWriter sends the response header before the first byte, so that an error before it gets its own status.
type contentWriter struct {
	w         http.ResponseWriter
	requestID string
	started   bool
}

func (c *contentWriter) start() {
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "application/jsonl")
		c.w.Header().Set(api.HeaderRequestID, c.requestID)
		c.w.WriteHeader(http.StatusOK)
	}
}

func (c *contentWriter) Write(b []byte) (int, error) {
	c.start()
	return c.w.Write(b)
}
