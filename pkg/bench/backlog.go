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

// Backlog runs a batch job while the online calls of a variant are sent, and sums up how the engines used their slots.
type Backlog struct {
	Address, Key, Model string
	// Items is the number of items of the job, which should be more than the engines can finish during the run.
	Items int
	// MaxTokens is the length of each item's answer in tokens.
	MaxTokens int
	// Engines are the addresses of the stand-in engines that serve the model; their executions are counted.
	Engines []string

	// OnlineOnly, OnlineAndBatch and BatchOnly sum up the use of the engines over all runs so far: by online calls alone,
	// by online calls and the job together, and by the job alone. They stay empty without Engines.
	OnlineOnly, OnlineAndBatch, BatchOnly SlotUse
	// runs counts the jobs submitted so far, so that the custom ids of each differ.
	runs int
}

const (
	// settleTime is the time that a new job has to fill the idle slots before anything is measured.
	settleTime = 2 * time.Second
	// batchOnlyTime is the time over which the job is measured without online calls. The items per slot second found
	// there are the capacity that idle slots are compared with.
	batchOnlyTime = 3 * time.Second
)

// Throughput is the batch work done while online calls were sent.
type Throughput struct {
	// ItemsPerSecond counts executions that finished.
	ItemsPerSecond float64 `json:"items_per_second"`
	// OfIdle is the work done divided by the work that the slots left idle by online calls alone could have done, at the
	// items per slot second of the job alone. An engine with free slots runs its other slots faster; idle slots of an
	// otherwise full engine could therefore do less than is assumed here.
	OfIdle float64 `json:"of_idle"`
	// IdleUsed is the part of the slot time not used by online runs in which batch runs held a slot. Kept is the part in
	// which they did work that was not discarded.
	IdleUsed float64 `json:"idle_slot_time_used"`
	Kept     float64 `json:"idle_slot_time_kept"`
	// Cancelled is the number of batch runs that ended early for each finished item.
	Cancelled float64 `json:"cancelled_per_item"`
}

// Throughput returns the batch work done while the online calls of all runs so far were sent.
func (b *Backlog) Throughput() Throughput {
	idleSlotSeconds := b.OnlineAndBatch.Total - b.OnlineAndBatch.Online
	idleSlotsOnlineOnly := divide(b.OnlineOnly.Total-b.OnlineOnly.Online, b.OnlineOnly.Seconds)
	itemsPerSlotSecond := divide(float64(b.BatchOnly.Finished), b.BatchOnly.Batch)
	itemsPerSecond := divide(float64(b.OnlineAndBatch.Finished), b.OnlineAndBatch.Seconds)
	return Throughput{ItemsPerSecond: itemsPerSecond, OfIdle: divide(itemsPerSecond, itemsPerSlotSecond*idleSlotsOnlineOnly), IdleUsed: divide(b.OnlineAndBatch.Batch, idleSlotSeconds),
		Kept: divide(b.OnlineAndBatch.Kept, idleSlotSeconds), Cancelled: divide(float64(b.OnlineAndBatch.Cancelled), float64(b.OnlineAndBatch.Finished))}
}

// MeasureOnline is the Setup of a variant without batch work. The returned function adds the use of the engines since
// the call to OnlineOnly.
func (b *Backlog) MeasureOnline(ctx context.Context) (func() error, error) {
	start := time.Now()
	return func() error { return b.addUse(ctx, &b.OnlineOnly, start, time.Now()) }, nil
}

// addUse adds the use of the engines between two times to sum. It does nothing without Engines.
func (b *Backlog) addUse(ctx context.Context, sum *SlotUse, from, to time.Time) error {
	if len(b.Engines) == 0 {
		return nil
	}
	u, err := measureUse(ctx, b.Engines, from, to)
	sum.add(u)
	return err
}

// StartBatchJob is the Setup of a variant with batch work. It starts a job and measures it alone. The returned function
// adds the use of the engines since then to OnlineAndBatch and cancels the job.
func (b *Backlog) StartBatchJob(ctx context.Context) (func() error, error) {
	b.runs++
	id, err := b.submit(ctx)
	if err != nil {
		return nil, err
	}
	if !sleepUntil(ctx, time.Now().Add(settleTime)) {
		return nil, ctx.Err()
	}
	start := time.Now()
	if !sleepUntil(ctx, start.Add(batchOnlyTime)) {
		return nil, ctx.Err()
	}
	if err := b.addUse(ctx, &b.BatchOnly, start, time.Now()); err != nil {
		return nil, err
	}
	start = time.Now()
	return func() error {
		if err := b.addUse(ctx, &b.OnlineAndBatch, start, time.Now()); err != nil {
			return err
		}
		return b.callAPI(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", "", nil, nil)
	}, nil
}

// submit uploads a file of items, starts a job on it and returns the job's id.
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
	var created struct {
		ID string `json:"id"`
	}
	if err := b.callAPI(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), form.Bytes(), &created); err != nil {
		return "", err
	}
	body := fmt.Appendf(nil, `{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, created.ID)
	err = b.callAPI(ctx, http.MethodPost, "/v1/batches", "application/json", body, &created)
	return created.ID, err
}

// callAPI sends a request to the callers' API and decodes the answer into v, unless v is nil.
func (b *Backlog) callAPI(ctx context.Context, method, path, contentType string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+b.Key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	answer, err := http.DefaultClient.Do(req)
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
