package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/url"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"

	"trefoilplank.example/api"
)

func jobCommands(a *app) []command {
	return []command{
		{name: "submit", short: "Upload a file of requests and start a job", long: submitHelp, data: &submitCommand{app: a}},
		{name: "list", short: "List jobs", long: listHelp, data: &listCommand{app: a}},
		{name: "show", short: "Show one job", long: showHelp, data: &showCommand{app: a}},
		{name: "cancel", short: "Cancel a job", long: cancelHelp, data: &cancelCommand{app: a}},
		{name: "results", short: "Write the results of a job", long: resultsHelp, data: &resultsCommand{app: a}},
	}
}

// batchJob holds the fields of the batch API's batch object that trefoilctl uses. Times are in Unix seconds.
type batchJob struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	Endpoint      string `json:"endpoint"`
	CreatedAt     int64  `json:"created_at"`
	ExpiresAt     int64  `json:"expires_at"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// ended reports whether the job is in a final state.
func (b batchJob) ended() bool {
	switch b.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	}
	return false
}

func (a *app) printBatchJob(b batchJob) error {
	_, err := fmt.Fprintf(a.stdout, "%s %s: %d of %d completed, %d failed\n",
		b.ID, b.Status, b.RequestCounts.Completed, b.RequestCounts.Total, b.RequestCounts.Failed)
	return err
}

type submitCommand struct {
	*app           `no-flag:"yes"`
	Endpoint       string `long:"endpoint" default:"/v1/chat/completions" value-name:"PATH" description:"path that all lines call"`
	Window         string `long:"completion-window" default:"24h" value-name:"DURATION" description:"when the job is due"`
	IdempotencyKey string `long:"idempotency-key" value-name:"KEY" description:"names the job, so that it can be sent again (default: a new one)"`
	Wait           bool   `long:"wait" description:"wait until the job has ended"`
	Args           struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute uploads the file and creates the job. Both requests carry idempotency keys, so that a resend creates no
// second job.
func (c *submitCommand) Execute([]string) error {
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = ulid.Make().String()
	}
	fileID, err := c.upload()
	if err != nil {
		return err
	}
	request, err := json.Marshal(map[string]string{
		"input_file_id": fileID, "endpoint": c.Endpoint, "completion_window": c.Window,
	})
	if err != nil {
		return err
	}
	body, _, err := c.callCallerAPI(call{method: "POST", path: "/v1/batches", body: request, header: map[string]string{
		"Content-Type": "application/json", api.HeaderIdempotencyKey: c.IdempotencyKey + "-batch",
	}})
	if err != nil {
		return c.reportRefusal(body, c.withResendHint(err))
	}
	if !c.Wait {
		return printAnswer(c.app, body, c.printBatchJob)
	}
	var b batchJob
	if err := json.Unmarshal(body, &b); err != nil {
		return fmt.Errorf("decoding the job: %w", err)
	}
	return c.waitUntilEnded(b.ID)
}

// upload streams the file to the node and returns the id that the node gave it.
func (c *submitCommand) upload() (string, error) {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return "", usageError.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return "", err
	}
	bar := c.newProgress(info.Size(), "upload")
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() {
		err := form.WriteField("purpose", "batch")
		var part io.Writer
		if err == nil {
			part, err = form.CreateFormFile("file", filepath.Base(c.Args.File))
		}
		if err == nil {
			_, err = io.Copy(part, io.TeeReader(f, bar))
		}
		writer.CloseWithError(errors.Join(err, form.Close()))
	}()
	body, err := c.transfer(call{method: "POST", path: "/v1/files", header: map[string]string{
		"Content-Type": form.FormDataContentType(), api.HeaderIdempotencyKey: c.IdempotencyKey + "-file",
	}}, reader, nil)
	_ = reader.Close()
	bar.finish()
	if err != nil {
		return "", c.reportRefusal(body, c.withResendHint(fmt.Errorf("upload: %w", err)))
	}
	var file struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &file); err != nil || file.ID == "" {
		return "", fmt.Errorf("the answer to the upload has no file id: %s", body)
	}
	return file.ID, nil
}

// withResendHint adds the idempotency key to an error after which the same job may be sent again. After a refusal it
// adds nothing, since the key stays bound to the refused body.
func (c *submitCommand) withResendHint(err error) error {
	if _, retryable := retryAfter(err); !retryable {
		return err
	}
	return fmt.Errorf("%w\nsend it again with --idempotency-key %s", err, c.IdempotencyKey)
}

// pollInterval is the time between two polls of a job; jobs run for minutes to hours.
const pollInterval = time.Second

// waitUntilEnded polls a job until it has ended and fails unless it completed. It retries without limit after a 503 or a
// failed connection.
func (c *submitCommand) waitUntilEnded(id string) error {
	var bar *progress
	for {
		body, _, err := c.callCallerAPI(call{method: "GET", path: "/v1/batches/" + url.PathEscape(id)})
		if delay, retryable := retryAfter(err); retryable {
			time.Sleep(delay)
			continue
		}
		if err != nil {
			return c.reportRefusal(body, err)
		}
		var b batchJob
		if err := json.Unmarshal(body, &b); err != nil {
			return fmt.Errorf("decoding the job: %w", err)
		}
		if bar == nil && b.RequestCounts.Total > 0 {
			bar = c.newProgress(int64(b.RequestCounts.Total), "items")
		}
		bar.set(int64(b.RequestCounts.Completed + b.RequestCounts.Failed))
		if !b.ended() {
			time.Sleep(pollInterval)
			continue
		}
		bar.finish()
		if err := printAnswer(c.app, body, c.printBatchJob); err != nil || b.Status == "completed" {
			return err
		}
		return fmt.Errorf("the job ended with status %s", b.Status)
	}
}

// jobArgument is the positional argument that names a job.
type jobArgument struct {
	Args struct {
		ID string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

func (n jobArgument) path() string { return "/v1/batches/" + url.PathEscape(n.Args.ID) }

type listCommand struct {
	*app `no-flag:"yes"`
}

// Execute fetches all pages of the job list and prints them as one list.
func (c *listCommand) Execute([]string) error {
	type page struct {
		Data    []json.RawMessage `json:"data"`
		HasMore bool              `json:"has_more"`
		LastID  string            `json:"last_id"`
	}
	var all []json.RawMessage
	after := ""
	for {
		body, _, err := c.callCallerAPI(call{method: "GET", path: "/v1/batches?limit=100" + after})
		if err != nil {
			return c.reportRefusal(body, err)
		}
		var p page
		if err := json.Unmarshal(body, &p); err != nil {
			return fmt.Errorf("decoding a page of the job list: %w", err)
		}
		all = append(all, p.Data...)
		next := "&after=" + url.QueryEscape(p.LastID)
		if !p.HasMore || p.LastID == "" || next == after {
			break
		}
		after = next
	}
	body, err := json.Marshal(map[string]any{"object": "list", "data": append([]json.RawMessage{}, all...)})
	if err != nil {
		return err
	}
	return printAnswer(c.app, body, func(l struct{ Data []batchJob }) error {
		return c.printTable(func(w *tabwriter.Writer) {
			writeRow(w, "JOB", "STATUS", "CREATED", "TOTAL", "COMPLETED", "FAILED")
			for _, b := range l.Data {
				n := b.RequestCounts
				writeRow(w, b.ID, b.Status, formatTime(time.Unix(b.CreatedAt, 0)), n.Total, n.Completed, n.Failed)
			}
		})
	})
}

type showCommand struct {
	*app `no-flag:"yes"`
	jobArgument
}

// Execute prints the state and the counts of the job.
func (c *showCommand) Execute([]string) error {
	body, _, err := c.callCallerAPI(call{method: "GET", path: c.path()})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, c.printBatchJob)
}

type cancelCommand struct {
	*app `no-flag:"yes"`
	jobArgument
}

// Execute cancels the job and prints its state.
func (c *cancelCommand) Execute([]string) error {
	body, _, err := c.callCallerAPI(call{method: "POST", path: c.path() + "/cancel"})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, c.printBatchJob)
}

type resultsCommand struct {
	*app `no-flag:"yes"`
	jobArgument
	Output string `short:"o" long:"output" value-name:"FILE" description:"write to FILE instead of standard output"`
	Errors bool   `long:"errors" description:"write the items that failed instead of those that completed"`
}

// Execute writes the output file of the job, or its error file with --errors.
func (c *resultsCommand) Execute([]string) error {
	body, _, err := c.callCallerAPI(call{method: "GET", path: c.path()})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	var b batchJob
	if err := json.Unmarshal(body, &b); err != nil {
		return fmt.Errorf("decoding the job: %w", err)
	}
	id, what := b.OutputFileID, "results"
	if c.Errors {
		id, what = b.ErrorFileID, "errors"
	}
	if id == "" {
		return fmt.Errorf("job %s (%s) has no %s", b.ID, b.Status, what)
	}
	out := c.stdout
	if c.Output != "" {
		f, err := os.Create(c.Output)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	bar := c.newProgress(-1, "results")
	body, err = c.transfer(call{method: "GET", path: "/v1/files/" + url.PathEscape(id) + "/content"},
		bytes.NewReader(nil), io.MultiWriter(out, bar))
	bar.finish()
	if err != nil {
		return c.reportRefusal(body, err)
	}
	if f, ok := out.(*os.File); ok && c.Output != "" {
		return f.Close()
	}
	return nil
}
