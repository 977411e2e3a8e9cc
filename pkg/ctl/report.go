package ctl

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/operator"
)

type burnCommand struct {
	*app `no-flag:"yes"`
	HTML string `long:"html" value-name:"DIR" description:"also write one page per institution with plots into DIR"`
}

// Execute prints the burn rates of all objectives and, with --html, writes the pages.
func (c *burnCommand) Execute([]string) error {
	body, _, err := c.callOperatorAPI(call{method: "GET", path: "/v1/admin/burn"})
	if err != nil {
		return c.reportRefusal(body, err)
	}
	var report operator.BurnReport
	if err := json.Unmarshal(body, &report); err != nil {
		return fmt.Errorf("decoding the node's burn report: %w", err)
	}
	if err := printAnswer(c.app, body, c.print); err != nil || c.HTML == "" {
		return err
	}
	bar := c.newProgress(int64(len(report.Objectives)), "pages")
	paths, err := writePages(c.HTML, report, bar)
	bar.finish()
	for _, path := range paths {
		_, _ = fmt.Fprintln(c.stderr, "wrote", path)
	}
	return err
}

func (c *burnCommand) print(r operator.BurnReport) error {
	for _, s := range r.Unanswered {
		_, _ = fmt.Fprintf(c.stderr, "no answer from %s: %s\n", s.Node, s.Error)
	}
	return c.printTable(func(w *tabwriter.Writer) {
		writeRow(w, "INSTITUTION", "OBJECTIVE", "WITHIN", "TARGET", "BURN 5m", "BURN 1h", "BURN 6h", "BURN 3d", "REQUESTS 3d", "ALERTS")
		for _, o := range r.Objectives {
			cells := []any{o.Institution, o.Objective, time.Duration(o.Latency), o.Target}
			for _, win := range decision.Windows {
				cells = append(cells, fmt.Sprintf("%.2f", o.Windows[win.String()].BurnRate))
			}
			writeRow(w, append(cells, o.Windows["3d"].Total(), alertText(o.Alerts))...)
		}
	})
}

// alertText returns the names of the alerts that fire, or "-".
func alertText(a decision.Alerts) string {
	switch {
	case a.Fast && a.Slow:
		return "FAST SLOW"
	case a.Fast:
		return "FAST"
	case a.Slow:
		return "SLOW"
	}
	return "-"
}
