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
	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/operator"
)

// remoteError is an answer with an HTTP status other than 2xx.
type remoteError struct {
	status   int
	body     []byte
	detail   api.ErrorDetail
	findings api.Findings
	version  int64
}

// Error returns the findings, one per line, if the answer has any; otherwise the error code and message; and if it has
// neither, the status and the raw body.
func (e *remoteError) Error() string {
	if len(e.findings) > 0 {
		return fmt.Sprintf("refused with %s:\n%s", formatCount(len(e.findings), "finding"), e.findings.Error())
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
	var answer struct {
		Error    api.ErrorDetail `json:"error"`
		Findings api.Findings    `json:"findings"`
		Version  int64           `json:"version"`
	}
	// A body that isn't JSON leaves the fields empty; Error then prints it unchanged.
	_ = json.Unmarshal(body, &answer)
	return &remoteError{status: status, body: body, detail: answer.Error, findings: answer.Findings, version: answer.Version}
}

// call describes one HTTP request to a node.
type call struct {
	method, path string
	header       map[string]string
	body         []byte
}

// callOperatorAPI sends a request to the operators' listener, with the operator's name for the history of changes.
func (a *app) callOperatorAPI(c call) ([]byte, http.Header, error) {
	if c.header == nil {
		c.header = map[string]string{}
	}
	if c.header[operator.HeaderOperator] = a.Operator; a.Operator == "" {
		c.header[operator.HeaderOperator] = os.Getenv("USER")
	}
	return a.roundTrip(a.Server, a.Key, c)
}

// callCallerAPI sends a request to the callers' listener.
func (a *app) callCallerAPI(c call) ([]byte, http.Header, error) {
	return a.roundTrip(a.CallerServer, a.CallerKey, c)
}

// roundTrip sends a request and reads the complete answer within --timeout. For a status other than 2xx it returns a
// remoteError along with the body.
func (a *app) roundTrip(server, key string, c call) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Second)
	defer cancel()
	resp, err := a.sendRequest(ctx, server, key, c, bytes.NewReader(c.body))
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

var httpClient = dial.NewHTTPClient()

// sendRequest sends a request and returns the response with its body unread.
func (a *app) sendRequest(ctx context.Context, server, key string, c call, body io.Reader) (*http.Response, error) {
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
	return httpClient.Do(req)
}

// printAnswer prints the answer as JSON with --json; otherwise it decodes the answer and passes it to print.
func printAnswer[T any](a *app, body []byte, print func(T) error) error {
	if a.JSON {
		return a.printJSON(body)
	}
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("decoding the node's answer: %w", err)
	}
	return print(v)
}

// printJSON prints a JSON document with indentation.
func (a *app) printJSON(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(body), "", "  "); err != nil {
		return fmt.Errorf("the answer is not JSON: %w", err)
	}
	_, err := fmt.Fprintln(a.stdout, out.String())
	return err
}
