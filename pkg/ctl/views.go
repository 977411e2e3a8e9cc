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

// printTable prints the rows that rows writes, with aligned columns.
func (a *app) printTable(rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// writeRow writes cells separated by tabs, which the tabwriter aligns.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// formatTime returns t in UTC, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// orDash returns s, or "-" if s is empty, so that a table has no empty cells.
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

// Execute prints the fleet's status and, with --exit-code, fails if there are problems.
func (c *statusCommand) Execute([]string) error {
	body, _, err := c.callOperatorAPI(call{method: "GET", path: "/v1/admin/status"})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	var problems int
	err = printAnswer(c.app, body, func(f operator.FleetStatus) error {
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
		return fmt.Errorf("%s", formatCount(problems, "problem"))
	}
	return nil
}

func (c *statusCommand) print(f operator.FleetStatus) error {
	for _, p := range f.Problems {
		_, _ = fmt.Fprintf(c.stdout, "PROBLEM %s %s: %s\n  since:    %s\n  system:   %s\n  operator: %s\n",
			p.Kind, p.Name, p.Cause, formatTime(p.Since), p.System, p.Operator)
	}
	if len(f.Problems) == 0 {
		_, _ = fmt.Fprintln(c.stdout, "no problems")
	}
	return c.printTable(func(w *tabwriter.Writer) {
		writeRow(w, "\nNODE", "AVAILABILITY ZONE", "IN FORCE", "ACCEPTED", "STATE")
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
			writeRow(w, n.Name, orDash(n.AvailabilityZone), n.VersionInForce, f.VersionAccepted, state)
		}
		for _, section := range []struct {
			title   string
			objects []status.Object
		}{{"INSTITUTION", f.Institutions}, {"MODEL", f.Models}, {"UPSTREAM", f.Upstreams}, {"JOB", f.Jobs}} {
			if len(section.objects) == 0 {
				continue
			}
			writeRow(w, "\n"+section.title, "DESIRED", "OBSERVED", "LAST CHANGE", "WHY")
			for _, o := range section.objects {
				writeRow(w, o.Name, orDash(o.Desired), orDash(o.Observed), formatTime(o.LastChange), orDash(o.Why))
			}
		}
	})
}

type drainCommand struct {
	*app `no-flag:"yes"`
}

// Execute makes the node at --server drain.
func (c *drainCommand) Execute([]string) error {
	body, _, err := c.callOperatorAPI(call{method: "POST", path: "/v1/admin/drain"})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	return printAnswer(c.app, body, func(r struct{ Node string }) error {
		_, err := fmt.Fprintf(c.stdout, "node %s is draining\n", r.Node)
		return err
	})
}

type addressesCommand struct {
	*app             `no-flag:"yes"`
	AvailabilityZone string `long:"availability-zone" value-name:"ZONE" description:"list the nodes nearest to this zone first"`
}

// Execute prints the node addresses that the caller would be given.
func (c *addressesCommand) Execute([]string) error {
	path := "/v1/addresses"
	if c.AvailabilityZone != "" {
		path += "?" + url.Values{"availability_zone": {c.AvailabilityZone}}.Encode()
	}
	body, _, err := c.callCallerAPI(call{method: "GET", path: path})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	type answer struct {
		Addresses []struct {
			Address          string `json:"address"`
			AvailabilityZone string `json:"availability_zone"`
		} `json:"addresses"`
		TTLSeconds int   `json:"ttl_seconds"`
		Version    int64 `json:"version"`
	}
	return printAnswer(c.app, body, func(list answer) error {
		return c.printTable(func(w *tabwriter.Writer) {
			writeRow(w, "ADDRESS", "AVAILABILITY ZONE")
			for _, node := range list.Addresses {
				writeRow(w, node.Address, node.AvailabilityZone)
			}
			writeRow(w, fmt.Sprintf("version %d, valid for %d s", list.Version, list.TTLSeconds))
		})
	})
}
