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
	fleet *Fleet
	next  atomic.Int64
}

func newDemoClient(f *Fleet) *demoClient { return &demoClient{fleet: f} }

// node returns the caller address of the nodes in turn.
func (c *demoClient) node() string {
	nodes := c.fleet.Ready.Nodes
	return nodes[int(c.next.Add(1))%len(nodes)].Address
}

// answer is an HTTP answer read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (c *demoClient) do(ctx context.Context, key, method, url string, header http.Header, body []byte) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+key)
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	return answer{got.StatusCode, got.Header, data}, err
}

// json calls a node and decodes a 200 answer into v.
func (c *demoClient) json(ctx context.Context, key, method, url string, header http.Header, body []byte, v any) error {
	a, err := c.do(ctx, key, method, url, header, body)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, url, a.status, a.body)
	}
	return json.Unmarshal(a.body, v)
}

// fault sets faults on a stand-in.
func (c *demoClient) fault(ctx context.Context, address, settings string) error {
	a, err := c.do(ctx, "", http.MethodPost, address+"/standin/faults", nil, []byte(settings))
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("fault on %s: %s", address, a.body)
	}
	return err
}

// executions returns the runs of all stand-in upstreams.
func (c *demoClient) executions(ctx context.Context) ([]faults.Execution, error) {
	var all []faults.Execution
	for _, u := range c.fleet.Ready.Upstreams {
		var rows []faults.Execution
		if err := c.json(ctx, "", http.MethodGet, u.Address+"/standin/executions", nil, nil, &rows); err != nil {
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

// submit uploads a file of items and starts a batch on it.
func (c *demoClient) submit(ctx context.Context, key, prefix, model string, items int) (batchObject, error) {
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
	if err := c.json(ctx, key, http.MethodPost, c.node()+"/v1/files", header, form.Bytes(), &file); err != nil {
		return b, err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	header = http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {prefix + "-batch"}}
	err = c.json(ctx, key, http.MethodPost, c.node()+"/v1/batches", header, []byte(body), &b)
	return b, err
}
