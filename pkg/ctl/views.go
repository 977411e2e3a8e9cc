package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"trefoilplank.example/pkg/operator"
	"trefoilplank.example/pkg/operator/status"
)

// table writes aligned columns.
func (a *app) table(rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func row(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

func since(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type statusCommand struct {
	*app     `no-flag:"yes"`
	ExitCode bool `long:"exit-code" description:"exit with 1 when there are problems"`
}

// Execute shows the status.
func (c *statusCommand) Execute([]string) error {
	body, _, err := c.admin(call{method: "GET", path: "/v1/admin/status"})
	if err != nil {
		return c.refused(body, err)
	}
	var problems int
	err = show(c.app, body, func(f operator.FleetStatus) error {
		problems = len(f.Problems)
		return c.print(f)
	})
	if err != nil || !c.ExitCode {
		return err
	}
	if c.JSON {
		var f operator.FleetStatus
		if err := json.Unmarshal(body, &f); err != nil {
			return err
		}
		problems = len(f.Problems)
	}
	if problems > 0 {
		return fmt.Errorf("%d problems", problems)
	}
	return nil
}

func (c *statusCommand) print(f operator.FleetStatus) error {
	for _, p := range f.Problems {
		_, _ = fmt.Fprintf(c.stdout, "PROBLEM %s %s: %s\n  since:    %s\n  system:   %s\n  operator: %s\n",
			p.Kind, p.Name, p.Cause, since(p.Since), p.System, p.Operator)
	}
	if len(f.Problems) == 0 {
		_, _ = fmt.Fprintln(c.stdout, "no problems")
	}
	return c.table(func(w *tabwriter.Writer) {
		row(w, "\nNODE", "AVAILABILITY ZONE", "IN FORCE", "ACCEPTED", "STATE")
		for _, n := range f.Nodes {
			state := "ok"
			switch {
			case !n.Answered && n.Draining:
				state = "draining, no longer answers"
			case !n.Answered:
				state = "no answer: " + n.Error
			case n.Draining:
				state = "draining"
			}
			row(w, n.Name, orDash(n.AvailabilityZone), n.VersionInForce, f.VersionAccepted, state)
		}
		for _, part := range []struct {
			title   string
			objects []status.Object
		}{{"INSTITUTION", f.Institutions}, {"MODEL", f.Models}, {"UPSTREAM", f.Upstreams}, {"JOB", f.Jobs}} {
			if len(part.objects) == 0 {
				continue
			}
			row(w, "\n"+part.title, "DESIRED", "OBSERVED", "LAST CHANGE", "WHY")
			for _, o := range part.objects {
				row(w, o.Name, orDash(o.Desired), orDash(o.Observed), since(o.LastChange), orDash(o.Why))
			}
		}
	})
}

type explainCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		What subjectName `positional-arg-name:"request|job|item|upstream|member|configuration" required:"yes"`
		Name string      `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute shows the decisions.
func (c *explainCommand) Execute([]string) error {
	switch c.Args.What {
	case "request", "job", "item", "upstream", "member", "configuration":
	default:
		return usageError.New("explain takes request, job, item, upstream, member or configuration, not %q", c.Args.What)
	}
	q := url.Values{string(c.Args.What): {c.Args.Name}}
	body, _, err := c.admin(call{method: "GET", path: "/v1/admin/explain?" + q.Encode()})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, c.print)
}

func (c *explainCommand) print(x operator.Explanation) error {
	for _, s := range x.Unanswered {
		_, _ = fmt.Fprintf(c.stderr, "no answer from %s: %s\n", s.Node, s.Error)
	}
	if len(x.Entries) == 0 {
		_, _ = fmt.Fprintf(c.stdout, "no decisions about %s %s are kept\n", c.Args.What, c.Args.Name)
		return nil
	}
	return c.table(func(w *tabwriter.Writer) {
		row(w, "TIME", "NODE", "UPSTREAM", "DECISION", "REASON", "VALUES")
		for _, e := range x.Entries {
			values, _ := json.Marshal(e.Values)
			row(w, e.Time.UTC().Format(time.RFC3339Nano), e.Node, orDash(e.Upstream), e.Decision, e.Reason, string(values))
		}
	})
}

type drainCommand struct {
	*app `no-flag:"yes"`
}

// Execute drains the node.
func (c *drainCommand) Execute([]string) error {
	body, _, err := c.admin(call{method: "POST", path: "/v1/admin/drain"})
	if err != nil {
		return c.refused(body, err)
	}
	return show(c.app, body, func(r struct{ Node string }) error {
		_, err := fmt.Fprintf(c.stdout, "node %s is draining\n", r.Node)
		return err
	})
}

type addressesCommand struct {
	*app             `no-flag:"yes"`
	AvailabilityZone string `long:"availability-zone" value-name:"ZONE" description:"list the nodes nearest to this zone first"`
}

// Execute shows the addresses.
func (c *addressesCommand) Execute([]string) error {
	path := "/v1/addresses"
	if c.AvailabilityZone != "" {
		path += "?" + url.Values{"availability_zone": {c.AvailabilityZone}}.Encode()
	}
	body, _, err := c.caller(call{method: "GET", path: path})
	if err != nil {
		return c.refused(body, err)
	}
	type answer struct {
		Addresses []struct {
			Address          string `json:"address"`
			AvailabilityZone string `json:"availability_zone"`
		} `json:"addresses"`
		TTLSeconds int   `json:"ttl_seconds"`
		Version    int64 `json:"version"`
	}
	return show(c.app, body, func(x answer) error {
		return c.table(func(w *tabwriter.Writer) {
			row(w, "ADDRESS", "AVAILABILITY ZONE")
			for _, y := range x.Addresses {
				row(w, y.Address, y.AvailabilityZone)
			}
			row(w, fmt.Sprintf("version %d, valid for %d s", x.Version, x.TTLSeconds))
		})
	})
}
