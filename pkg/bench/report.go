package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Report is the JSON form of an experiment's results.
type Report struct {
	Profile     string          `json:"profile"`
	Rate        float64         `json:"rate"`
	Seed        uint64          `json:"seed"`
	Repetitions int             `json:"repetitions"`
	Variants    []VariantReport `json:"variants"`
	// Ratios divide the figures of the second variant by those of the first; empty with one variant.
	Ratios []Ratio `json:"ratios,omitempty"`
	// Batch is the batch work done during the runs of the second variant; nil without a backlog, or without engines
	// whose executions can be counted.
	Batch *Throughput `json:"batch,omitempty"`
}

// VariantReport is the JSON form of one variant.
type VariantReport struct {
	Variant string    `json:"variant"`
	Seconds float64   `json:"seconds"`
	Kinds   []Summary `json:"kinds"`
}

// Ratio compares the second variant with the first for one kind of call.
type Ratio struct {
	Kind          Kind    `json:"kind"`
	FirstTokenP50 float64 `json:"first_token_p50"`
	FirstTokenP99 float64 `json:"first_token_p99"`
	WholeP99      float64 `json:"whole_p99"`
	Good          float64 `json:"good"`
}

// NewReport summarizes the results of an experiment, one for each variant.
func NewReport(e Experiment, results []*Result) Report {
	report := Report{Profile: e.Profile.Name, Rate: e.Rate, Seed: e.Seed, Repetitions: e.Repetitions}
	for _, r := range results {
		report.Variants = append(report.Variants, VariantReport{r.Variant, r.Seconds, r.Summaries()})
	}
	if len(report.Variants) == 2 {
		report.Ratios = compareKinds(report.Variants[0].Kinds, report.Variants[1].Kinds)
	}
	return report
}

// compareKinds returns the figures of other divided by those of base, for each kind of call that both have.
func compareKinds(base, other []Summary) []Ratio {
	var ratios []Ratio
	for _, first := range base {
		for _, second := range other {
			if first.Kind == second.Kind {
				ratios = append(ratios, Ratio{
					Kind: first.Kind, FirstTokenP50: divide(second.FirstToken.P50, first.FirstToken.P50),
					FirstTokenP99: divide(second.FirstToken.P99, first.FirstToken.P99), Good: divide(float64(second.Good), float64(first.Good)),
					WholeP99: divide(second.Whole.P99, first.Whole.P99),
				})
			}
		}
	}
	return ratios
}

// divide returns a / b, or 0 if b is 0.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report as text; times are milliseconds.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variant\tkind\tcalls\tok\tgood\trefused\tfailed\tfirst p50\tfirst p95\tfirst p99\tbetween p95\twhole p99\t")
	for _, v := range r.Variants {
		for _, s := range v.Kinds {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", v.Variant, s.Kind, s.Calls, s.OK, s.Good,
				s.Refused, s.Failed, s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, s.BetweenTokens.P95, s.Whole.P99)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, ratio := range r.Ratios {
		if _, err := fmt.Fprintf(w, "%s: second / first: first-token p50 %.2f, p99 %.2f, whole p99 %.2f, good calls %.2f\n", ratio.Kind, ratio.FirstTokenP50, ratio.FirstTokenP99, ratio.WholeP99, ratio.Good); err != nil {
			return err
		}
	}
	if b := r.Batch; b != nil {
		if _, err := fmt.Fprintf(w, "batch: %.1f items/s finished, %.2f of what idle slots could do; of idle slot time %.2f used and %.2f kept; %.2f runs ended early for each item\n",
			b.ItemsPerSecond, b.OfIdle, b.IdleUsed, b.Kept, b.Cancelled); err != nil {
			return err
		}
	}
	return r.writeErrors(w)
}

// writeErrors writes the first error of each variant and kind of call that had one.
func (r Report) writeErrors(w io.Writer) error {
	for _, v := range r.Variants {
		for _, s := range v.Kinds {
			if s.FirstError == "" {
				continue
			}
			if _, err := fmt.Fprintf(w, "%s %s: first error: %s\n", v.Variant, s.Kind, s.FirstError); err != nil {
				return err
			}
		}
	}
	return nil
}

// WritePlot writes an HTML page with bar charts of the time to the first token, one chart for each kind of call.
func (r Report) WritePlot(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "trefoilctl bench: " + r.Profile
	labels := []string{"p50", "p95", "p99", "max"}
	for _, kind := range []Kind{KindChat, KindLookup, KindStream} {
		bar := charts.NewBar()
		bar.SetGlobalOptions(
			charts.WithTitleOpts(opts.Title{Title: string(kind), Subtitle: fmt.Sprintf("time to the first token in ms, %.0f calls/s", r.Rate)}),
			charts.WithYAxisOpts(opts.YAxis{Type: "log"}),
		)
		bar.SetXAxis(labels)
		for _, v := range r.Variants {
			for _, s := range v.Kinds {
				if s.Kind == kind {
					q := s.FirstToken
					bar.AddSeries(v.Variant, []opts.BarData{{Value: q.P50}, {Value: q.P95}, {Value: q.P99}, {Value: q.Max}})
				}
			}
		}
		page.AddCharts(bar)
	}
	return page.Render(w)
}
