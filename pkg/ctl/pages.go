package ctl

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/operator"
)

// writePages writes one page per institution into dir and returns their paths.
func writePages(dir, assetsHost string, r operator.BurnReport, bar *progress) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	var names []string
	byInstitution := map[string][]operator.ObjectiveBurn{}
	for _, o := range r.Objectives {
		if byInstitution[o.Institution] == nil {
			names = append(names, o.Institution)
		}
		byInstitution[o.Institution] = append(byInstitution[o.Institution], o)
	}
	var paths []string
	for i, name := range names {
		path := filepath.Join(dir, url.PathEscape(name)+".html")
		if err := writePage(path, assetsHost, name, byInstitution[name]); err != nil {
			return paths, err
		}
		paths = append(paths, path)
		bar.set(int64(i + 1))
	}
	return paths, nil
}

func writePage(path, assetsHost, institution string, objectives []operator.ObjectiveBurn) error {
	page := components.NewPage()
	page.SetPageTitle("Service-level burn of " + institution)
	page.SetLayout(components.PageFlexLayout)
	if assetsHost != "" {
		page.SetAssetsHost(assetsHost)
	}
	page.AddCharts(rateChart(institution, objectives))
	for _, o := range objectives {
		page.AddCharts(requestChart(o))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Render(f), f.Close())
}

// windowNames returns the axis of all plots.
func windowNames() []string {
	var names []string
	for _, w := range decision.Windows {
		names = append(names, w.String())
	}
	return names
}

// rateChart plots the burn rate of each objective over the windows, with the thresholds of the alerts.
func rateChart(institution string, objectives []operator.ObjectiveBurn) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Burn rate, " + institution, Subtitle: "1 spends the error budget exactly in its period"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "burn rate"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
	)
	bar.SetXAxis(windowNames())
	for i, o := range objectives {
		var data []opts.BarData
		for _, w := range windowNames() {
			data = append(data, opts.BarData{Value: o.Windows[w].BurnRate})
		}
		var marks []charts.SeriesOpts
		if i == 0 {
			marks = append(marks, charts.WithMarkLineNameYAxisItemOpts(
				opts.MarkLineNameYAxisItem{Name: "slow alert (6h and 3d)", YAxis: decision.SlowBurn},
				opts.MarkLineNameYAxisItem{Name: "fast alert (5m and 1h)", YAxis: decision.FastBurn}))
		}
		bar.AddSeries(o.Objective, data, marks...)
	}
	return bar
}

// requestChart plots the good and bad requests of one objective over the windows.
func requestChart(o operator.ObjectiveBurn) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{
			Title: o.Objective + ", alerts: " + alertText(o.Alerts),
			Subtitle: fmt.Sprintf("%s within %s for %g %% of requests, error budget %.3g %%",
				o.Metric, time.Duration(o.Latency), o.Target*100, o.ErrorBudget*100),
		}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "requests"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
	)
	var good, bad []opts.BarData
	for _, w := range windowNames() {
		good = append(good, opts.BarData{Value: o.Windows[w].Good})
		bad = append(bad, opts.BarData{Value: o.Windows[w].Bad})
	}
	stack := charts.WithBarChartOpts(opts.BarChart{Stack: "requests"})
	bar.SetXAxis(windowNames()).AddSeries("good", good, stack).AddSeries("bad", bad, stack)
	return bar
}
