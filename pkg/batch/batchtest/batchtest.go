// Package batchtest has helpers for tests and benchmarks of batch work: upload requests, and a slot that runs items.
package batchtest

import (
	"bytes"
	"context"
	"io"
	"mime/multipart"
	"net/http"
	"net/http/httptest"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Upload returns the request that uploads content as a file. If key is empty, it has no idempotency key.
func Upload(purpose, content, key string) *http.Request {
	var body bytes.Buffer
	// Writes to a buffer do not fail.
	form := multipart.NewWriter(&body)
	_ = form.WriteField("purpose", purpose)
	part, _ := form.CreateFormFile("file", "in.jsonl")
	_, _ = io.WriteString(part, content)
	_ = form.Close()
	r := httptest.NewRequest(http.MethodPost, "/v1/files", &body)
	r.Header.Set("Content-Type", form.FormDataContentType())
	if key != "" {
		r.Header.Set(api.HeaderIdempotencyKey, key)
	}
	return r
}

// FillSlot runs items of the source on u one after the other until ctx ends, as admission does with one slot. The end
// of ctx does not cancel a run that has begun.
func FillSlot(ctx context.Context, source serving.BatchSource, u api.Upstream) {
	for ctx.Err() == nil {
		waiting := source.ItemsReady()
		r, ok := source.Next(u)
		if !ok {
			select {
			case <-waiting:
			case <-ctx.Done():
			}
			continue
		}
		r.Run(context.WithoutCancel(ctx), &serving.Slot{Upstream: u, RequestID: r.Request().ID})
	}
}
