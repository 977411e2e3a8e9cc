package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"go.yaml.in/yaml/v3"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/operator"
)

// documentFlags are the flags of commands that send documents.
type documentFlags struct {
	Files   []string `short:"f" long:"file" value-name:"FILE" description:"document to read, - for standard input; may be repeated"`
	IfMatch *int64   `long:"if-match" value-name:"VERSION" description:"refuse the change if another version is in force"`
}

// readDocuments joins the files named by -f and args into one stream of YAML documents; "-" is standard input.
func (f documentFlags) readDocuments(stdin io.Reader, args []string) ([]byte, error) {
	if f.IfMatch != nil && *f.IfMatch < 0 {
		return nil, usageError.New("--if-match takes a version, not %d", *f.IfMatch)
	}
	files := append(append([]string{}, f.Files...), args...)
	if len(files) == 0 {
		return nil, usageError.New("a document is needed: -f FILE, or - for standard input")
	}
	var out bytes.Buffer
	for i, name := range files {
		if i > 0 {
			out.WriteString("\n---\n")
		}
		var b []byte
		var err error
		if name == "-" {
			b, err = io.ReadAll(stdin)
		} else {
			b, err = os.ReadFile(name)
		}
		if err != nil {
			return nil, usageError.Wrap(err)
		}
		out.Write(b)
	}
	return out.Bytes(), nil
}

// headers returns the request headers for the documents, with the condition of --if-match.
func (f documentFlags) headers() map[string]string {
	h := map[string]string{"Content-Type": "application/yaml"}
	if f.IfMatch != nil {
		h["If-Match"] = strconv.Quote(strconv.FormatInt(*f.IfMatch, 10))
	}
	return h
}

type applyCommand struct {
	*app `no-flag:"yes"`
	documentFlags
	IdempotencyKey string `long:"idempotency-key" value-name:"KEY" description:"names the change, so that it can be sent again (default: a new one)"`
	DryRun         bool   `long:"dry-run" description:"check only"`
	Retries        int    `long:"retries" default:"2" value-name:"N" description:"resends of the same change after 503 or a broken connection"`
}

// Execute sends the documents to be applied.
func (c *applyCommand) Execute(args []string) error {
	docs, err := c.readDocuments(c.stdin, args)
	if err != nil {
		return err
	}
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = ulid.Make().String()
	}
	h := c.headers()
	h[api.HeaderIdempotencyKey] = c.IdempotencyKey
	path := "/v1/admin/apply"
	if c.DryRun {
		path += "?dry_run=true"
	}
	body, err := c.sendWithRetries(call{method: "POST", path: path, header: h, body: docs})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, func(r operator.ApplyResult) error {
		switch {
		case r.Replayed:
			_, _ = fmt.Fprintf(c.stdout, "accepted before as version %d, nothing changed now\n", r.Version)
		case r.DryRun:
			_, _ = fmt.Fprintf(c.stdout, "checked against version %d, %s, not applied\n", r.Version, formatCount(len(r.Changes), "change"))
		default:
			_, _ = fmt.Fprintf(c.stdout, "accepted as version %d, %s\n", r.Version, formatCount(len(r.Changes), "change"))
		}
		return nil
	})
}

// sendWithRetries sends the change until the answer is not 503 and the connection did not fail, or --retries are used
// up. All attempts carry the same idempotency key, so that a change whose answer was lost is not made twice.
func (c *applyCommand) sendWithRetries(change call) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		body, _, err := c.callOperatorAPI(change)
		delay, retryable := retryAfter(err)
		if !retryable || attempt >= c.Retries {
			if err != nil && retryable {
				err = fmt.Errorf("%w\nsend it again with --idempotency-key %s", err, c.IdempotencyKey)
			}
			return body, err
		}
		_, _ = fmt.Fprintf(c.stderr, "trefoilctl: %v; sending the change again in %s\n", err, delay)
		time.Sleep(delay)
	}
}

// retryAfter reports whether a request that failed with err may be sent again, which is so after a 503 or a failed
// connection, and the delay before that.
func retryAfter(err error) (time.Duration, bool) {
	var remote *remoteError
	var transport *url.Error
	switch {
	case errors.As(err, &remote):
		return time.Duration(max(remote.detail.RetryAfterSeconds, 1)) * time.Second, remote.status == 503
	case errors.As(err, &transport):
		return time.Second, true
	}
	return 0, false
}

// reportRefusal prints the answer to a failed request with --json, if it is JSON, and returns the error.
func (a *app) reportRefusal(body []byte, err error) error {
	if a.JSON && json.Valid(body) {
		return errors.Join(err, a.printJSON(body))
	}
	return err
}

type diffCommand struct {
	*app `no-flag:"yes"`
	documentFlags
}

// Execute prints what the documents would change.
func (c *diffCommand) Execute(args []string) error {
	docs, err := c.readDocuments(c.stdin, args)
	if err != nil {
		return err
	}
	body, _, err := c.callOperatorAPI(call{method: "POST", path: "/v1/admin/apply?dry_run=true", header: c.headers(), body: docs})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, func(r operator.ApplyResult) error {
		for _, change := range r.Changes {
			_, _ = fmt.Fprintf(c.stdout, "%s %s %s\n", map[operator.Operation]string{
				operator.OperationAdded: "+", operator.OperationRemoved: "-", operator.OperationChanged: "~",
			}[change.Operation], change.Kind, change.Name)
			for _, f := range change.Fields {
				_, _ = fmt.Fprintf(c.stdout, "    %s: %s -> %s\n", f.Path, f.Old, f.New)
			}
		}
		_, _ = fmt.Fprintf(c.stdout, "%s against version %d\n", formatCount(len(r.Changes), "change"), r.Version)
		return nil
	})
}

type getCommand struct {
	*app `no-flag:"yes"`
	YAML bool `long:"yaml" description:"print YAML instead of JSON"`
	Args struct {
		Document documentName `positional-arg-name:"register|rules" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the document in force.
func (c *getCommand) Execute([]string) error {
	if c.Args.Document != "register" && c.Args.Document != "rules" {
		return usageError.New("get takes register or rules, not %q", c.Args.Document)
	}
	body, header, err := c.callOperatorAPI(call{method: "GET", path: "/v1/admin/" + string(c.Args.Document)})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	if !c.JSON {
		_, _ = fmt.Fprintf(c.stderr, "version %s\n", header.Get("ETag"))
	}
	if c.JSON || !c.YAML {
		return c.printJSON(body)
	}
	// JSON is valid YAML. Decoding into a node keeps the order of the fields, so that only the style changes.
	var root yaml.Node
	if err := yaml.Unmarshal(body, &root); err != nil {
		return err
	}
	setBlockStyle(&root)
	enc := yaml.NewEncoder(c.stdout)
	enc.SetIndent(2)
	return errors.Join(enc.Encode(&root), enc.Close())
}

// setBlockStyle removes braces and double quotes from a YAML tree.
func setBlockStyle(n *yaml.Node) {
	n.Style &^= yaml.FlowStyle | yaml.DoubleQuotedStyle
	for _, child := range n.Content {
		setBlockStyle(child)
	}
}
