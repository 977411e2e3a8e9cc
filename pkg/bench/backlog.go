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
	// Engines are the addresses of the stand-in engines of the model, whose executions are counted.
	Engines []string

	// Without, Beside and Alone are the use of the engines by online calls alone, by both, and by the job alone, over all
	// runs so far. They are empty without Engines.
	Without, Beside, Alone Use
	runs                   int
}

const (
	// settleTime is the time that a new job gets to fill the idle slots before the calls begin.
	settleTime = 2 * time.Second
	// aloneTime is the time over which the job alone is measured, the capacity that idle slots are compared with.
	aloneTime = 3 * time.Second
)

// Throughput is batch work done beside online calls.
type Throughput struct {
	// ItemsPerSecond counts executions that finished.
	ItemsPerSecond float64 `json:"items_per_second"`
	// OfIdle is the work done divided by what the slots that online calls alone leave idle could have done, at the items
	// per slot second of the job alone. An engine with free slots runs the others faster, so that idle slots of a full
	// one could do less than this says.
	OfIdle float64 `json:"of_idle"`
	// IdleUsed is the part of the slot time not used by online runs in which batch runs held a slot, Kept that of batch
	// runs whose work was not thrown away.
	IdleUsed float64 `json:"idle_slot_time_used"`
	Kept     float64 `json:"idle_slot_time_kept"`
	// Cancelled is the number of batch runs ended early for each finished item.
	Cancelled float64 `json:"cancelled_per_item"`
}

// Throughput returns the batch work done beside the calls of all runs so far.
func (b *Backlog) Throughput() Throughput {
	idle := b.Beside.Total - b.Beside.Online
	idleWithout := divide(b.Without.Total-b.Without.Online, b.Without.Seconds)
	perSlot := divide(float64(b.Alone.Finished), b.Alone.Batch)
	rate := divide(float64(b.Beside.Finished), b.Beside.Seconds)
	return Throughput{ItemsPerSecond: rate, OfIdle: divide(rate, perSlot*idleWithout), IdleUsed: divide(b.Beside.Batch, idle),
		Kept: divide(b.Beside.Kept, idle), Cancelled: divide(float64(b.Beside.Cancelled), float64(b.Beside.Finished))}
}

// AroundWithout notes the use of the engines by the calls of a run without batch work.
func (b *Backlog) AroundWithout(ctx context.Context) (func() error, error) {
	began := time.Now()
	return func() error { return b.note(ctx, &b.Without, began, time.Now()) }, nil
}

func (b *Backlog) note(ctx context.Context, sum *Use, from, to time.Time) error {
	if len(b.Engines) == 0 {
		return nil
	}
	u, err := measure(ctx, b.Engines, from, to)
	sum.add(u)
	return err
}

// Around starts a job, measures it alone and then beside the calls; the returned function cancels it.
func (b *Backlog) Around(ctx context.Context) (func() error, error) {
	b.runs++
	id, err := b.submit(ctx)
	if err != nil {
		return nil, err
	}
	if !sleepUntil(ctx, time.Now().Add(settleTime)) {
		return nil, ctx.Err()
	}
	began := time.Now()
	if !sleepUntil(ctx, began.Add(aloneTime)) {
		return nil, ctx.Err()
	}
	if err := b.note(ctx, &b.Alone, began, time.Now()); err != nil {
		return nil, err
	}
	began = time.Now()
	return func() error {
		if err := b.note(ctx, &b.Beside, began, time.Now()); err != nil {
			return err
		}
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
