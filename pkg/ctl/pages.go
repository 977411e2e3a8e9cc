package ctl

import (
	"errors"
	"html/template"
	"net/url"
	"os"
	"path/filepath"
	"time"

	decision "trefoilplank.example/pkg/decision/burn"
	"trefoilplank.example/pkg/operator"
)

// burnPage is the template of one institution's burn page. It refers to no other resource, so that the page works
// offline and in an archive.
var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{"alerts": alertText}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn of {{.Institution}}</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
svg { max-width: 100%; height: auto; }
td, th { padding: 0.2em 1em; text-align: right; }
</style>
</head>
<body>
<h1>Service-level burn of {{.Institution}}</h1>
<p>At {{.At}}. Burn rate 1 spends the error budget exactly in its period.</p>
<h2>Burn rate, {{.Institution}}</h2>
{{.Rates}}
{{range .Objectives}}
<h2>{{.Objective}}, alerts: {{alerts .Alerts}}</h2>
<p>{{.Metric}} within {{.Within}} for {{.Target}} of requests.</p>
{{.Plot}}
<table>
<tr><th>window</th><th>good</th><th>bad</th><th>burn rate</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .BurnRate}}</td></tr>
{{end}}</table>
{{end}}
</body>
</html>
`))

// pageData is the input of burnPage. At is the time of writing, in RFC 3339 form.
type pageData struct {
	Institution, At string
	Rates           template.HTML
	Objectives      []objectiveData
}

type objectiveData struct {
	operator.ObjectiveBurn
	Within time.Duration
	Plot   template.HTML
	Rows   []windowRow
}

type windowRow struct {
	Name string
	operator.WindowBurn
}

// writePages writes one burn page per institution into dir and returns their paths, also after an error.
func writePages(dir string, r operator.BurnReport, bar *progress) ([]string, error) {
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
		if err := writePage(path, name, byInstitution[name]); err != nil {
			return paths, err
		}
		paths = append(paths, path)
		bar.set(int64(i + 1))
	}
	return paths, nil
}

func writePage(path, institution string, objectives []operator.ObjectiveBurn) error {
	data := pageData{Institution: institution, At: time.Now().UTC().Format(time.RFC3339)}
	var err error
	if data.Rates, err = renderRatePlot(objectives); err != nil {
		return err
	}
	for _, o := range objectives {
		requestBars, err := renderRequestPlot(o)
		if err != nil {
			return err
		}
		objective := objectiveData{ObjectiveBurn: o, Within: time.Duration(o.Latency), Plot: requestBars}
		for _, name := range windowNames() {
			objective.Rows = append(objective.Rows, windowRow{name, o.Windows[name]})
		}
		data.Objectives = append(data.Objectives, objective)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(burnPage.Execute(f, data), f.Close())
}

// windowNames returns the names of the burn windows, which are the X axis of all plots.
func windowNames() []string {
	var names []string
	for _, w := range decision.Windows {
		names = append(names, w.String())
	}
	return names
}
