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

type documentFlags struct {
	Files   []string `short:"f" long:"file" value-name:"FILE" description:"document to read, - for standard input; may be repeated"`
	IfMatch *int64   `long:"if-match" value-name:"VERSION" description:"refuse the change if another version is in force"`
}

// read joins the files named by -f and the arguments into one stream of documents.
func (f documentFlags) read(stdin io.Reader, args []string) ([]byte, error) {
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

func (f documentFlags) header() map[string]string {
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

// Execute applies the documents.
func (c *applyCommand) Execute(args []string) error {
	docs, err := c.read(c.stdin, args)
	if err != nil {
		return err
	}
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = ulid.Make().String()
	}
	h := c.header()
	h[api.HeaderIdempotencyKey] = c.IdempotencyKey
	path := "/v1/admin/apply"
	if c.DryRun {
		path += "?dry_run=true"
	}
	body, err := c.send(call{method: "POST", path: path, header: h, body: docs})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, func(r operator.ApplyResult) error {
		switch {
		case r.Replayed:
			_, _ = fmt.Fprintf(c.stdout, "accepted before as version %d, nothing changed now\n", r.Version)
		case r.DryRun:
			_, _ = fmt.Fprintf(c.stdout, "checked against version %d, %s, not applied\n", r.Version, counted(len(r.Changes), "change"))
		default:
			_, _ = fmt.Fprintf(c.stdout, "accepted as version %d, %s\n", r.Version, counted(len(r.Changes), "change"))
		}
		return nil
	})
}

// send sends the change until it gets an answer other than 503. Every resend carries the same key, so that a
// change whose answer was lost is not made twice.
func (c *applyCommand) send(x call) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		body, _, err := c.admin(x)
		wait, again := retryAfter(err)
		if !again || attempt >= c.Retries {
			if err != nil && again {
				err = fmt.Errorf("%w\nsend it again with --idempotency-key %s", err, c.IdempotencyKey)
			}
			return body, err
		}
		_, _ = fmt.Fprintf(c.stderr, "trefoilctl: %v; sending the change again in %s\n", err, wait)
		time.Sleep(wait)
	}
}

// retryAfter reports whether a call that ended with err may be sent again, and when.
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

// refused prints the answer to a refused change as JSON if asked to.
func (a *app) refused(body []byte, err error) error {
	if a.JSON && json.Valid(body) {
		return errors.Join(err, a.printJSON(body))
	}
	return err
}

type diffCommand struct {
	*app `no-flag:"yes"`
	documentFlags
}

// Execute shows the changes.
func (c *diffCommand) Execute(args []string) error {
	docs, err := c.read(c.stdin, args)
	if err != nil {
		return err
	}
	body, _, err := c.admin(call{method: "POST", path: "/v1/admin/apply?dry_run=true", header: c.header(), body: docs})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, func(r operator.ApplyResult) error {
		for _, x := range r.Changes {
			_, _ = fmt.Fprintf(c.stdout, "%s %s %s\n", map[operator.Operation]string{
				operator.Added: "+", operator.Removed: "-", operator.Changed: "~",
			}[x.Operation], x.Kind, x.Name)
			for _, f := range x.Fields {
				_, _ = fmt.Fprintf(c.stdout, "    %s: %s -> %s\n", f.Path, f.Old, f.New)
			}
		}
		_, _ = fmt.Fprintf(c.stdout, "%s against version %d\n", counted(len(r.Changes), "change"), r.Version)
		return nil
	})
}

type getCommand struct {
	*app `no-flag:"yes"`
	YAML bool `long:"yaml" description:"print YAML instead of JSON"`
	Args struct {
		What documentName `positional-arg-name:"register|rules" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the document.
func (c *getCommand) Execute([]string) error {
	if c.Args.What != "register" && c.Args.What != "rules" {
		return usageError.New("get takes register or rules, not %q", c.Args.What)
	}
	body, header, err := c.admin(call{method: "GET", path: "/v1/admin/" + string(c.Args.What)})
	if err != nil {
		return c.refused(body, err)
	}
	if !c.JSON {
		_, _ = fmt.Fprintf(c.stderr, "version %s\n", header.Get("ETag"))
	}
	if c.JSON || !c.YAML {
		return c.printJSON(body)
	}
	// JSON is YAML, and the node form keeps the order of fields; only the style changes.
	var root yaml.Node
	if err := yaml.Unmarshal(body, &root); err != nil {
		return err
	}
	blockStyle(&root)
	enc := yaml.NewEncoder(c.stdout)
	enc.SetIndent(2)
	return errors.Join(enc.Encode(&root), enc.Close())
}

func blockStyle(n *yaml.Node) {
	n.Style &^= yaml.FlowStyle | yaml.DoubleQuotedStyle
	for _, x := range n.Content {
		blockStyle(x)
	}
}
