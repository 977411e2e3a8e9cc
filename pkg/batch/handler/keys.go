package handler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/serving"
)

// maxIdempotencyKeyBytes bounds an Idempotency-Key.
const maxIdempotencyKeyBytes = 512

// keyRecord maps an idempotency key to the file or job created with it. It is written once.
type keyRecord struct {
	ID string `json:"id"`
	// Digest is the SHA-256 of the body that the key was first used with, in hex.
	Digest string `json:"digest"`
}

// idempotencyKey returns the store key for the request's idempotency key, or "" without one. Each institution has its
// own keys for each kind of object.
func idempotencyKey(r *http.Request, id serving.Identity, kind string) (string, error) {
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if key == "" {
		return "", nil
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, "%s is longer than %d bytes",
			api.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	sum := sha256.Sum256([]byte(key))
	return "keys/" + kind + "/" + url.PathEscape(id.Institution) + "/" + hex.EncodeToString(sum[:]), nil
}

// readKey returns the record of a key, or nil if the key is new or "".
func (h *Handler) readKey(ctx context.Context, key string) (*keyRecord, error) {
	if key == "" {
		return nil, nil
	}
	o, err := objects.Get(ctx, h.Store, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var k keyRecord
	return &k, json.Unmarshal(o.Value, &k)
}

// createKey writes the record of a key unless it exists, and returns the one in the store.
func (h *Handler) createKey(ctx context.Context, key string, k keyRecord) (*keyRecord, error) {
	value, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	_, err = objects.Create(ctx, h.Store, key, value)
	if err == nil {
		return &k, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return nil, err
	}
	earlier, err := h.readKey(ctx, key)
	if err == nil && earlier == nil {
		// Retention removed the earlier record between the two calls.
		err = store.ErrUnavailable
	}
	return earlier, err
}

func keyReusedError() error {
	return api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun,
		"this %s was used with another body", api.HeaderIdempotencyKey)
}
