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
	"trefoilplank.example/pkg/serving"
)

// maxUpload bounds the time of one upload; retention collects older uploads that did not end.
const maxUpload = 6 * time.Hour

// cleanupTimeout bounds the removal of a refused upload; retention removes what is left.
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
	ctx, stop := context.WithTimeout(r.Context(), maxUpload)
	defer stop()
	key, err := idempotencyKey(r, id, "files")
	if err != nil {
		return err
	}
	earlier, err := h.readKey(ctx, key)
	if err != nil {
		return notAccepted(err)
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
		// The earlier body was valid, so this is another one.
		err = keyReused()
	case err == nil && earlier != nil:
		m, err = h.sameFile(ctx, earlier, m.Digest)
	case err == nil:
		m, err = h.acceptFile(ctx, m)
	}
	if !u.DigestOnly {
		// An upload of unknown outcome is left to retention: it may have been accepted.
		if err == nil || !errors.Is(err, store.ErrUnknown) {
			h.settle(ctx, u.Meta.ID, err == nil && m.ID == u.Meta.ID)
		}
	}
	if err != nil {
		return err
	}
	writeJSON(w, r, http.StatusOK, newFileObject(m))
	return nil
}

// notAccepted is for store errors before anything was written that could make an object exist.
func notAccepted(err error) error {
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return store.ErrUnavailable
	}
	return err
}

// settle removes what an upload left behind. A failure is no error for the caller, since retention repeats it.
func (h *Handler) settle(ctx context.Context, id string, accepted bool) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer stop()
	if err := filestore.Settle(ctx, h.Store, id, accepted); err != nil {
		klog.V(2).InfoS("Could not remove the leftovers of an upload; retention will", "file", id, "err", err)
	}
}

// readForm reads the form's fields in any order. Only the parts "purpose" and "file" count.
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

// uploadError is the error of an upload whose record was not written: nothing was accepted.
func uploadError(err error) error {
	var findings filestore.Findings
	if errors.As(err, &findings) || errors.Is(err, filestore.ErrTooLarge) {
		return err
	}
	return notAccepted(err)
}

// formReader keeps the read error of the caller's connection apart from those of the store.
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

// acceptFile makes the file's record durable, then its key. With a key, the file that the key names is the
// one that was accepted; another upload with the same key loses against it.
func (h *Handler) acceptFile(ctx context.Context, m *filestore.Meta) (*filestore.Meta, error) {
	if err := filestore.Create(ctx, h.Store, m); err != nil {
		return nil, err
	}
	if m.Key == "" {
		return m, nil
	}
	winner, err := h.createKey(ctx, m.Key, keyRecord{ID: m.ID, Digest: m.Digest})
	if err != nil {
		return nil, err
	}
	if winner.ID == m.ID {
		return m, nil
	}
	return h.sameFile(ctx, winner, m.Digest)
}

// sameFile returns the file of an earlier upload with the same key.
func (h *Handler) sameFile(ctx context.Context, earlier *keyRecord, digest string) (*filestore.Meta, error) {
	if earlier.Digest != digest {
		return nil, keyReused()
	}
	return filestore.Get(ctx, h.Store, earlier.ID)
}

// file returns a file of the caller's institution.
func (h *Handler) file(ctx context.Context, id serving.Identity, name string) (*filestore.Meta, error) {
	m, err := filestore.Get(ctx, h.Store, name)
	if err == nil && m.Institution != id.Institution {
		err = store.ErrNotFound
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such file")
	}
	return m, notAccepted(err)
}

func (h *Handler) getFile(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	m, err := h.file(r.Context(), id, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, r, http.StatusOK, newFileObject(m))
	return nil
}

func (h *Handler) getContent(w http.ResponseWriter, r *http.Request, id serving.Identity) error {
	m, err := h.file(r.Context(), id, r.PathValue("id"))
	if err != nil {
		return err
	}
	out := &contentWriter{w: w, requestID: serving.RequestIDFrom(r.Context())}
	err = h.jobs.Content(r.Context(), m, out)
	switch {
	case err != nil && !out.started:
		return notAccepted(err)
	case err != nil:
		// The status line is sent; breaking the connection is the only way to say that the content is not whole.
		klog.ErrorS(err, "Reading file content failed", "file", m.ID)
		panic(http.ErrAbortHandler)
	}
	out.start()
	return nil
}

// contentWriter sends the response header with the first byte, so that an early error still gets its status.
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
