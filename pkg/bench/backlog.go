package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"
)

// Backlog keeps a batch job running beside the online calls of a variant.
type Backlog struct {
	Address, Key, Model string
	// Items is the size of the job; it should be more than can be done during the run.
	Items int
	// MaxTokens is the length of each item's answer.
	MaxTokens int

	// Completed and Seconds describe the work done beside the calls of all runs so far.
	Completed int
	Seconds   float64
	runs      int
}

// settleTime is the time that a new job gets to fill the idle slots before the calls begin.
const settleTime = 2 * time.Second

// Around starts a job; the returned function notes its progress and cancels it.
func (b *Backlog) Around(ctx context.Context) (func() error, error) {
	b.runs++
	id, err := b.submit(ctx)
	if err != nil {
		return nil, err
	}
	if !sleepUntil(ctx, time.Now().Add(settleTime)) {
		return nil, ctx.Err()
	}
	before, err := b.completed(ctx, id)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	return func() error {
		after, err := b.completed(ctx, id)
		if err != nil {
			return err
		}
		b.Completed += after - before
		b.Seconds += time.Since(began).Seconds()
		return b.call(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", nil, nil)
	}, nil
}

func (b *Backlog) submit(ctx context.Context) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", "backlog.jsonl")
	if err != nil {
		return "", err
	}
	for i := range b.Items {
		if _, err := fmt.Fprintf(part, `{"custom_id":"bench-%d-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"ignore_eos":true,"messages":[{"role":"user","content":"item %d"}]}}`+"\n",
			b.runs, i, b.Model, b.MaxTokens, i); err != nil {
			return "", err
		}
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	var made struct {
		ID string `json:"id"`
	}
	if err := b.call(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), form.Bytes(), &made); err != nil {
		return "", err
	}
	body := fmt.Appendf(nil, `{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, made.ID)
	err = b.call(ctx, http.MethodPost, "/v1/batches", "application/json", body, &made)
	return made.ID, err
}

func (b *Backlog) completed(ctx context.Context, id string) (int, error) {
	var job struct {
		RequestCounts struct {
			Completed int `json:"completed"`
		} `json:"request_counts"`
	}
	err := b.call(ctx, http.MethodGet, "/v1/batches/"+id, "", nil, &job)
	return job.RequestCounts.Completed, err
}

// call makes one call of the caller interface and decodes the answer into v, which may be nil.
func (b *Backlog) call(ctx context.Context, method, path, contentType string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+b.Key)
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return Error.New("%s %s: status %d: %s", method, path, answer.StatusCode, data)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(data, v)
}
