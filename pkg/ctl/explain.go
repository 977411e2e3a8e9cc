package ctl

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator"
)

type explainCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Subject subjectName `positional-arg-name:"request|job|item|upstream|member|configuration" required:"yes"`
		Name    string      `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the recorded decisions about one subject in order of time.
func (c *explainCommand) Execute([]string) error {
	switch c.Args.Subject {
	case "request", "job", "item", "upstream", "member", "configuration":
	default:
		return usageError.New("explain takes request, job, item, upstream, member or configuration, not %q", c.Args.Subject)
	}
	q := url.Values{string(c.Args.Subject): {c.Args.Name}}
	body, _, err := c.callOperatorAPI(call{method: "GET", path: "/v1/admin/explain?" + q.Encode()})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, c.print)
}

func (c *explainCommand) print(explanation operator.Explanation) error {
	for _, s := range explanation.Unanswered {
		_, _ = fmt.Fprintf(c.stderr, "no answer from %s: %s\n", s.Node, s.Error)
	}
	if len(explanation.Entries) == 0 {
		_, _ = fmt.Fprintf(c.stdout, "no decisions about %s %s are recorded\n", c.Args.Subject, c.Args.Name)
		return nil
	}
	first, last := explanation.Entries[0].Time, explanation.Entries[len(explanation.Entries)-1].Time
	_, _ = fmt.Fprintf(c.stdout, "%s %s: %s from %s, over %s\n", c.Args.Subject, c.Args.Name, formatCount(len(explanation.Entries), "decision"),
		first.UTC().Format(time.RFC3339Nano), last.Sub(first))
	return c.printTable(func(w *tabwriter.Writer) {
		writeRow(w, "AFTER", "NODE", "DECISION", "REASON", "SUBJECT AND VALUES")
		for _, e := range explanation.Entries {
			writeRow(w, "+"+e.Time.Sub(first).Round(time.Microsecond).String(), e.Node, e.Decision, e.Reason, c.formatDetails(e))
		}
	})
}

// formatDetails lists the subjects of a decision other than the one asked for, then its values, sorted by name.
func (c *explainCommand) formatDetails(e explain.Entry) string {
	var parts []string
	for _, s := range []struct{ name, value string }{
		{"request", e.Request}, {"job", e.Job}, {"item", e.Item}, {"upstream", e.Upstream},
	} {
		if s.value != "" && s.name != string(c.Args.Subject) {
			parts = append(parts, s.name+"="+s.value)
		}
	}
	var names []string
	for name, value := range e.Values {
		if value != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		value := fmt.Sprint(e.Values[name])
		if strings.ContainsAny(value, " =") || value == "" {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, name+"="+value)
	}
	return orDash(strings.Join(parts, " "))
}

// formatCount returns n followed by the noun, with a plural "s" unless n is 1.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
