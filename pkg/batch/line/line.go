// Package line reads and checks the lines of batch input files and writes the lines of output files.
package line

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"trefoilplank.example/api"
)

// Bounds of input files, as in docs/interface.md.
const (
	MaxLineBytes = 1 << 20
	MaxLines     = 530_000
	// maxCustomIDBytes keeps output lines and logs small.
	maxCustomIDBytes = 512
)

// servicePrefix starts the URL of a call to a plain service.
const servicePrefix = "/v1/services/"

// Item is the call that one valid line of an input file describes.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
	// Headers are sent to the upstream unchanged. `Trefoil-Non-Idempotent: true` marks an item that must run at most
	// once.
	Headers map[string]string `json:"headers,omitempty"`

	// Model, Service and Path are derived from URL and Body; either Model or Service is empty.
	Model   string `json:"-"`
	Service string `json:"-"`
	// Path is the path and query of the call to the upstream.
	Path string `json:"-"`
	// NonIdempotent is derived from Headers, the token counts from Body. PromptTokens is an estimate.
	NonIdempotent bool `json:"-"`
	MaxTokens     int  `json:"-"`
	PromptTokens  int  `json:"-"`
}

// describeJSONError converts a decoding error to one that names the field with the wrong type in terms of JSON, not of
// Go. path is the path of the decoded value within the line.
func describeJSONError(path string, err error) error {
	var wrong *json.UnmarshalTypeError
	switch {
	case !errors.As(err, &wrong) && path == "":
		return fmt.Errorf("not a JSON object: %v", err)
	case !errors.As(err, &wrong):
		return fmt.Errorf("%s: %v", path, err)
	case wrong.Field == "" && path == "":
		return fmt.Errorf("not a JSON object but a value of type %s", wrong.Value)
	case wrong.Field == "":
		return fmt.Errorf("%s is not a JSON object but a value of type %s", path, wrong.Value)
	}
	return fmt.Errorf("%s must not be of type %s", strings.TrimPrefix(path+"."+wrong.Field, "."), wrong.Value)
}

// Parse decodes and checks one line. The error says what is wrong with the line.
func Parse(raw []byte) (*Item, error) {
	if len(raw) > MaxLineBytes {
		return nil, fmt.Errorf("line is longer than %d bytes", MaxLineBytes)
	}
	switch {
	case len(bytes.TrimSpace(raw)) == 0:
		return nil, fmt.Errorf("line is empty")
	case bytes.HasPrefix(raw, []byte("\xef\xbb\xbf")):
		return nil, fmt.Errorf("line begins with a byte order mark; save the file as UTF-8 without one")
	}
	var item Item
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(&item); err != nil {
		return nil, describeJSONError("", err)
	}
	if len(bytes.TrimSpace(raw[d.InputOffset():])) > 0 {
		return nil, fmt.Errorf("data after the JSON object")
	}
	switch {
	case item.CustomID == "":
		return nil, fmt.Errorf("custom_id is missing")
	case len(item.CustomID) > maxCustomIDBytes:
		return nil, fmt.Errorf("custom_id is longer than %d bytes", maxCustomIDBytes)
	}
	for name, value := range item.Headers {
		if http.CanonicalHeaderKey(name) != api.HeaderNonIdempotent {
			continue
		}
		switch strings.ToLower(value) {
		case "true":
			item.NonIdempotent = true
		case "false", "":
		default:
			return nil, fmt.Errorf("header %s must be true or false", api.HeaderNonIdempotent)
		}
	}
	if strings.HasPrefix(item.URL, servicePrefix) {
		return &item, item.parseService()
	}
	return &item, item.parseModel()
}

func (i *Item) parseModel() error {
	switch i.URL {
	case "/v1/chat/completions", "/v1/completions":
	default:
		return fmt.Errorf("url %q is not one that batches support", i.URL)
	}
	if i.Method != http.MethodPost {
		return fmt.Errorf("method must be POST")
	}
	var body struct {
		Model     string          `json:"model"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
		Prompt    json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(i.Body, &body); err != nil {
		return describeJSONError("body", err)
	}
	switch {
	case body.Model == "":
		return fmt.Errorf("body.model is missing")
	case body.MaxTokens < 0:
		return fmt.Errorf("body.max_tokens is negative")
	case body.Stream:
		return fmt.Errorf("body.stream must not be true in a batch")
	case i.URL == "/v1/chat/completions" && len(body.Messages) == 0:
		return fmt.Errorf("body.messages is missing")
	case i.URL == "/v1/completions" && len(body.Prompt) == 0:
		return fmt.Errorf("body.prompt is missing")
	}
	i.Model, i.Path, i.MaxTokens = body.Model, i.URL, body.MaxTokens
	// bytesPerToken is a typical ratio for text; admission uses the token count only as an estimate.
	const bytesPerToken = 4
	i.PromptTokens = (len(body.Messages) + len(body.Prompt)) / bytesPerToken
	return nil
}

func (i *Item) parseService() error {
	switch i.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return fmt.Errorf("method %q is not supported", i.Method)
	}
	u, err := url.ParseRequestURI(i.URL)
	if err != nil || u.Host != "" || u.Fragment != "" {
		return fmt.Errorf("url is not valid")
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicePrefix), "/")
	if name == "" {
		return fmt.Errorf("url names no service")
	}
	rest = "/" + rest
	for segment := range strings.SplitSeq(u.Path, "/") {
		// The decoded path is checked, since an upstream decodes it too.
		if segment == "." || segment == ".." {
			return fmt.Errorf("url path has a %q segment", segment)
		}
	}
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	i.Service, i.Path = name, rest
	return nil
}

// Allowed returns an error if the item's model or service is not among those granted to the caller.
func (i *Item) Allowed(models, services []string) error {
	for _, m := range models {
		if i.Model != "" && m == i.Model {
			return nil
		}
	}
	for _, s := range services {
		if i.Service != "" && s == i.Service {
			return nil
		}
	}
	return fmt.Errorf("model or service %q is not granted to this caller", i.Model+i.Service)
}

// Response is the answer of an upstream in an output line.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// Failure is the error of an item in a line of the error file.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Outcome says whether the item may have run.
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// Output is one line of an output or error file.
type Output struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// OK reports whether the line belongs in the output file; otherwise it belongs in the error file.
func (o *Output) OK() bool {
	return o.Error == nil && o.Response != nil && o.Response.StatusCode < 400
}

// JSONBody returns the body of an answer as compact JSON; a body that is not JSON becomes a JSON string, an empty one null.
func JSONBody(raw []byte) json.RawMessage {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return json.RawMessage("null")
	}
	var compact bytes.Buffer
	if json.Compact(&compact, raw) == nil {
		return compact.Bytes()
	}
	text, err := json.Marshal(string(raw))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
