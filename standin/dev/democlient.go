package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"sync/atomic"

	"trefoilplank.example/standin/faults"
)

// demoClient calls the fleet as callers, batch users and operators do.
type demoClient struct {
	fleet       *Fleet
	nodeCounter atomic.Int64
}

func newDemoClient(f *Fleet) *demoClient { return &demoClient{fleet: f} }

// nextNode returns the caller address of the next node in round-robin order.
func (c *demoClient) nextNode() string {
	nodes := c.fleet.Ready.Nodes
	return nodes[int(c.nodeCounter.Add(1))%len(nodes)].Address
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends a request with a bearer key and reads the complete response. url has no scheme.
func (c *demoClient) send(ctx context.Context, key, method, url string, header http.Header, body []byte) (response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+key)
	httpResponse, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	return response{httpResponse.StatusCode, httpResponse.Header, data}, err
}

// callJSON sends a request as send does and decodes the JSON body of a 200 response into v.
func (c *demoClient) callJSON(ctx context.Context, key, method, url string, header http.Header, body []byte, v any) error {
	resp, err := c.send(ctx, key, method, url, header, body)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.status, resp.body)
	}
	return json.Unmarshal(resp.body, v)
}

// setFaults sets the faults of the stand-in at address; settings is a JSON object.
func (c *demoClient) setFaults(ctx context.Context, address, settings string) error {
	resp, err := c.send(ctx, "", http.MethodPost, address+"/standin/faults", nil, []byte(settings))
	if err == nil && resp.status != http.StatusOK {
		err = fmt.Errorf("setting faults on %s: %s", address, resp.body)
	}
	return err
}

// executions returns the runs of all stand-in upstreams.
func (c *demoClient) executions(ctx context.Context) ([]faults.Execution, error) {
	var all []faults.Execution
	for _, u := range c.fleet.Ready.Upstreams {
		var rows []faults.Execution
		if err := c.callJSON(ctx, "", http.MethodGet, u.Address+"/standin/executions", nil, nil, &rows); err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// batchObject holds the fields of a batch that the demo reads.
type batchObject struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// submitBatch uploads a file of items and creates a batch on it. prefix is the prefix of custom IDs and idempotency keys.
func (c *demoClient) submitBatch(ctx context.Context, key, prefix, model string, items int) (batchObject, error) {
	var b batchObject
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":12,"messages":[{"role":"user","content":"item %s %d"}]}}`+"\n",
			prefix, i, model, prefix, i)
	}
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, err := w.CreateFormFile("file", prefix+".jsonl")
	if err != nil {
		return b, err
	}
	_, _ = io.WriteString(part, lines.String())
	if err := w.Close(); err != nil {
		return b, err
	}
	var file struct {
		ID string `json:"id"`
	}
	header := http.Header{"Content-Type": {w.FormDataContentType()}, "Idempotency-Key": {prefix + "-file"}}
	if err := c.callJSON(ctx, key, http.MethodPost, c.nextNode()+"/v1/files", header, form.Bytes(), &file); err != nil {
		return b, err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	header = http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {prefix + "-batch"}}
	err = c.callJSON(ctx, key, http.MethodPost, c.nextNode()+"/v1/batches", header, []byte(body), &b)
	return b, err
}
