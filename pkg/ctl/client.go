package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/operator"
)

// remoteError is an answer without success.
type remoteError struct {
	status   int
	body     []byte
	detail   api.ErrorDetail
	findings api.Findings
	version  int64
}

// Error describes the answer, with one finding a line.
func (e *remoteError) Error() string {
	if len(e.findings) > 0 {
		return fmt.Sprintf("refused with %s:\n%s", counted(len(e.findings), "finding"), e.findings.Error())
	}
	if e.detail.Code == "" {
		return fmt.Sprintf("HTTP status %d: %s", e.status, strings.TrimSpace(string(e.body)))
	}
	msg := fmt.Sprintf("%s: %s (outcome %s)", e.detail.Code, e.detail.Message, e.detail.Outcome)
	if e.detail.RetryAfterSeconds > 0 {
		msg += fmt.Sprintf("; retry after %d s", e.detail.RetryAfterSeconds)
	}
	return msg
}

func newRemoteError(status int, body []byte) *remoteError {
	var b struct {
		Error    api.ErrorDetail `json:"error"`
		Findings api.Findings    `json:"findings"`
		Version  int64           `json:"version"`
	}
	// A body that is not JSON is shown as it is.
	_ = json.Unmarshal(body, &b)
	return &remoteError{status: status, body: body, detail: b.Error, findings: b.Findings, version: b.Version}
}

// call is one HTTP call to a node.
type call struct {
	method, path string
	header       map[string]string
	body         []byte
}

// admin calls the operators' listener.
func (a *app) admin(c call) ([]byte, http.Header, error) {
	if c.header == nil {
		c.header = map[string]string{}
	}
	if c.header[operator.HeaderOperator] = a.Operator; a.Operator == "" {
		c.header[operator.HeaderOperator] = os.Getenv("USER")
	}
	return a.do(a.Server, a.Key, c)
}

// caller calls the callers' listener.
func (a *app) caller(c call) ([]byte, http.Header, error) {
	return a.do(a.CallerServer, a.CallerKey, c)
}

func (a *app) do(server, key string, c call) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	defer cancel()
	resp, err := a.open(ctx, server, key, c, bytes.NewReader(c.body))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return body, resp.Header, newRemoteError(resp.StatusCode, body)
	}
	return body, resp.Header, nil
}

// open sends a call and returns its answer unread.
func (a *app) open(ctx context.Context, server, key string, c call, body io.Reader) (*http.Response, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	req, err := http.NewRequestWithContext(ctx, c.method, strings.TrimSuffix(server, "/")+c.path, body)
	if err != nil {
		return nil, usageError.Wrap(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range c.header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	return http.DefaultClient.Do(req)
}

// show prints the raw answer with --json, and otherwise decodes it and calls print.
func show[T any](a *app, body []byte, print func(T) error) error {
	if a.JSON {
		return a.printJSON(body)
	}
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("the answer is not as expected: %w", err)
	}
	return print(v)
}

// printJSON prints JSON indented.
func (a *app) printJSON(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(body), "", "  "); err != nil {
		return fmt.Errorf("the answer is not JSON: %w", err)
	}
	_, err := fmt.Fprintln(a.stdout, out.String())
	return err
}
