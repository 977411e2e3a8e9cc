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

// batch is a job as the batch interface shows it.
type batch struct {
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

// ended reports whether the job changes no more.
func (b batch) ended() bool {
	switch b.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	}
	return false
}

func (a *app) printBatch(b batch) error {
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

// Execute uploads the file and creates the job. Both calls carry keys, so that a resend makes no second job.
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
	body, _, err := c.caller(call{method: "POST", path: "/v1/batches", body: request, header: map[string]string{
		"Content-Type": "application/json", api.HeaderIdempotencyKey: c.IdempotencyKey + "-batch",
	}})
	if err != nil {
		return c.refused(body, c.resendable(err))
	}
	if !c.Wait {
		return show(c.app, body, c.printBatch)
	}
	var b batch
	if err := json.Unmarshal(body, &b); err != nil {
		return fmt.Errorf("the answer is not as expected: %w", err)
	}
	return c.wait(b.ID)
}

// upload streams the file and returns its id.
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
	bar := c.progress(info.Size(), "upload")
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
		return "", c.refused(body, c.resendable(fmt.Errorf("upload: %w", err)))
	}
	var file struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &file); err != nil || file.ID == "" {
		return "", fmt.Errorf("the answer to the upload has no file id: %s", body)
	}
	return file.ID, nil
}

// resendable adds the key to an error after which the same job may be sent again. A refusal of what was sent is none:
// the key stays with the body that it was used for.
func (c *submitCommand) resendable(err error) error {
	if _, again := retryAfter(err); !again {
		return err
	}
	return fmt.Errorf("%w\nsend it again with --idempotency-key %s", err, c.IdempotencyKey)
}

// pollInterval is the time between two looks at a job; a job takes minutes to hours.
const pollInterval = time.Second

// wait follows a job to its end and fails unless it completed.
func (c *submitCommand) wait(id string) error {
	var bar *progress
	for {
		body, _, err := c.caller(call{method: "GET", path: "/v1/batches/" + url.PathEscape(id)})
		if wait, again := retryAfter(err); again {
			time.Sleep(wait)
			continue
		}
		if err != nil {
			return c.refused(body, err)
		}
		var b batch
		if err := json.Unmarshal(body, &b); err != nil {
			return fmt.Errorf("the answer is not as expected: %w", err)
		}
		if bar == nil && b.RequestCounts.Total > 0 {
			bar = c.progress(int64(b.RequestCounts.Total), "items")
		}
		bar.set(int64(b.RequestCounts.Completed + b.RequestCounts.Failed))
		if !b.ended() {
			time.Sleep(pollInterval)
			continue
		}
		bar.finish()
		if err := show(c.app, body, c.printBatch); err != nil || b.Status == "completed" {
			return err
		}
		return fmt.Errorf("the job ended as %s", b.Status)
	}
}

type jobName struct {
	Args struct {
		ID string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

func (n jobName) path() string { return "/v1/batches/" + url.PathEscape(n.Args.ID) }

type listCommand struct {
	*app `no-flag:"yes"`
}

// Execute lists the jobs, all pages of them.
func (c *listCommand) Execute([]string) error {
	type page struct {
		Data    []json.RawMessage `json:"data"`
		HasMore bool              `json:"has_more"`
		LastID  string            `json:"last_id"`
	}
	var all []json.RawMessage
	after := ""
	for {
		body, _, err := c.caller(call{method: "GET", path: "/v1/batches?limit=100" + after})
		if err != nil {
			return c.refused(body, err)
		}
		var p page
		if err := json.Unmarshal(body, &p); err != nil {
			return fmt.Errorf("the answer is not as expected: %w", err)
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
	return show(c.app, body, func(l struct{ Data []batch }) error {
		return c.table(func(w *tabwriter.Writer) {
			row(w, "JOB", "STATUS", "CREATED", "TOTAL", "COMPLETED", "FAILED")
			for _, b := range l.Data {
				n := b.RequestCounts
				row(w, b.ID, b.Status, since(time.Unix(b.CreatedAt, 0)), n.Total, n.Completed, n.Failed)
			}
		})
	})
}

type showCommand struct {
	*app `no-flag:"yes"`
	jobName
}

// Execute shows the job.
func (c *showCommand) Execute([]string) error {
	body, _, err := c.caller(call{method: "GET", path: c.path()})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, c.printBatch)
}

type cancelCommand struct {
	*app `no-flag:"yes"`
	jobName
}

// Execute cancels the job.
func (c *cancelCommand) Execute([]string) error {
	body, _, err := c.caller(call{method: "POST", path: c.path() + "/cancel"})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, c.printBatch)
}

type resultsCommand struct {
	*app `no-flag:"yes"`
	jobName
	Output string `short:"o" long:"output" value-name:"FILE" description:"write to FILE instead of standard output"`
	Errors bool   `long:"errors" description:"write the items that failed instead of those that completed"`
}

// Execute writes the result file of the job.
func (c *resultsCommand) Execute([]string) error {
	body, _, err := c.caller(call{method: "GET", path: c.path()})
	if err != nil {
		return c.refused(body, err)
	}
	var b batch
	if err := json.Unmarshal(body, &b); err != nil {
		return fmt.Errorf("the answer is not as expected: %w", err)
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
	bar := c.progress(-1, "results")
	body, err = c.transfer(call{method: "GET", path: "/v1/files/" + url.PathEscape(id) + "/content"},
		bytes.NewReader(nil), io.MultiWriter(out, bar))
	bar.finish()
	if err != nil {
		return c.refused(body, err)
	}
	if f, ok := out.(*os.File); ok && c.Output != "" {
		return f.Close()
	}
	return nil
}
