package ctl

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format with the plot library.
	_ "gonum.org/v1/plot/vg/vgsvg"

	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/operator"
)

// Sizes of a plot and its bars.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	// windowWidth is the width in points that the bars of one window share.
	windowWidth = 60
)

// renderRatePlot plots the burn rate of each objective over the windows, with the thresholds of the alerts.
func renderRatePlot(objectives []operator.ObjectiveBurn) (template.HTML, error) {
	p := newPlot("burn rate")
	width := vg.Points(windowWidth / float64(max(len(objectives), 1)))
	for i, o := range objectives {
		var rates plotter.Values
		for _, name := range windowNames() {
			rates = append(rates, o.Windows[name].BurnRate)
		}
		bars, err := plotter.NewBarChart(rates, width)
		if err != nil {
			return "", err
		}
		bars.Color, bars.Offset = plotutil.Color(i), width*vg.Length(float64(i)-float64(len(objectives)-1)/2)
		p.Add(bars)
		p.Legend.Add(o.Objective, bars)
	}
	for i, threshold := range []struct {
		name string
		rate float64
	}{{"slow alert (6h and 3d)", decision.SlowBurn}, {"fast alert (5m and 1h)", decision.FastBurn}} {
		ends := plotter.XYs{{X: -0.5, Y: threshold.rate}, {X: float64(len(decision.Windows)) - 0.5, Y: threshold.rate}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return "", err
		}
		line.Dashes = plotutil.Dashes(i + 1)
		p.Add(line)
		p.Legend.Add(threshold.name, line)
	}
	return renderSVG(p)
}

// renderRequestPlot plots the good and bad requests of one objective over the windows.
func renderRequestPlot(o operator.ObjectiveBurn) (template.HTML, error) {
	p := newPlot("requests")
	var good, bad plotter.Values
	for _, name := range windowNames() {
		good = append(good, float64(o.Windows[name].Good))
		bad = append(bad, float64(o.Windows[name].Bad))
	}
	goodBars, err := plotter.NewBarChart(good, vg.Points(windowWidth))
	if err != nil {
		return "", err
	}
	badBars, err := plotter.NewBarChart(bad, vg.Points(windowWidth))
	if err != nil {
		return "", err
	}
	goodBars.Color, badBars.Color = plotutil.Color(1), plotutil.Color(0)
	badBars.StackOn(goodBars)
	p.Add(goodBars, badBars)
	p.Legend.Add("good", goodBars)
	p.Legend.Add("bad", badBars)
	return renderSVG(p)
}

// newPlot returns an empty plot with the burn windows as X axis.
func newPlot(unit string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text, p.Y.Min = unit, 0
	p.Legend.Top = true
	p.NominalX(windowNames()...)
	return p
}

// renderSVG returns the plot as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	if p.Y.Max <= p.Y.Min {
		// Without any requests all values are 0, and the axis would have no height.
		p.Y.Max = p.Y.Min + 1
	}
	// Leaves space for the legend above the bars.
	p.Y.Max *= 1.35
	image, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := image.WriteTo(&out); err != nil {
		return "", err
	}
	// Drops the XML declaration, which is not allowed within HTML.
	svg := out.Bytes()
	return template.HTML(svg[max(bytes.Index(svg, []byte("<svg")), 0):]), nil
}
