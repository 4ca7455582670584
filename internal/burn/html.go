package burn

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// maxPlots is the largest number of plots on a page, which show the worst-served workspaces.
const maxPlots = 6

// Width and height of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// pageTemplate is the HTML template of a report. It uses the names of fields and
// methods of Report, Line, Ejections and the types in this file.
const pageTemplate = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin-bottom:2em}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
.alert{background:#fdd}
</style></head><body>
<h1>Service-level burn at {{.At}}</h1>
<p>{{.Report.Hosts}} hosts replied. {{if .Report.Alert}}<strong>Alert: an error budget burns too fast.</strong>{{else}}No alert.{{end}}</p>
{{range .Report.Missing}}<p>Host {{.}} did not reply; its requests are missing here.</p>{{end}}
{{range .Tables}}<h2>{{.Title}}</h2>
<table><tr><th>service</th><th>workspace</th><th>requests 1 h</th><th>success</th><th>within latency</th><th>p50</th><th>p99</th><th>availability burn</th><th>latency burn</th><th>limited</th><th>limited within rate</th><th>no owner</th></tr>
{{range .Lines}}<tr{{if .Alert}} class="alert"{{end}}><td>{{.ID.Service}}</td><td>{{.ID.Workspace}}</td><td>{{.Total}}</td><td>{{percent .SuccessShare}}</td><td>{{percent .FastShare}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{rates .Availability}}</td><td>{{rates .Latency}}</td><td>{{.Limited}}</td><td>{{.LimitedInRate}}</td><td>{{.RefusedNoOwner}}</td></tr>
{{end}}</table>{{end}}
<h2>Ejections of targets, last 6 h</h2>
<table><tr><th>service</th><th>by cause</th><th>ejections</th><th>detection median</th><th>detection worst</th><th>unconfirmed</th></tr>
{{range .Report.Services}}<tr><td>{{.ID.Service}}</td><td>{{causes .Ejections}}</td><td>{{.Ejections.Total}}</td><td>{{.Ejections.Median}}</td><td>{{.Ejections.Worst}}</td><td>{{.Ejections.Unconfirmed}}</td></tr>
{{end}}</table>
<h2>Failed, slow and limited requests by minute, worst-served workspaces</h2>
{{range .Plots}}<h3>{{.Title}}</h3>{{.SVG}}{{end}}
</body></html>
`

// htmlTable is a table of services or workspaces on the page.
type htmlTable struct {
	Title string
	Lines []Line
}

// htmlPlot is the plot of one workspace on the page, as an svg element.
type htmlPlot struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report as one self-contained page with plots.
func WriteHTML(w io.Writer, r Report) error {
	tmpl, err := template.New("burn").Funcs(template.FuncMap{
		"percent": func(v float64) string { return formatPercent(v) },
		"rates":   formatRates,
		"causes":  formatCauses,
	}).Parse(pageTemplate)
	if err != nil {
		return eris.Wrap(err, "parse the page template")
	}
	plots, err := plotWorst(r)
	if err != nil {
		return err
	}
	at := time.UnixMilli(int64(r.At) * CellLength.Milliseconds()).UTC()
	err = tmpl.Execute(w, struct {
		At     string
		Report Report
		Tables []htmlTable
		Plots  []htmlPlot
	}{
		At:     at.Format(time.RFC3339),
		Report: r,
		Tables: []htmlTable{{"Services, worst first", r.Services}, {"Workspaces, worst first", r.Workspaces}},
		Plots:  plots,
	})
	return eris.Wrap(err, "write the burn page")
}

// plotWorst returns plots of the worst-served workspaces of a report.
func plotWorst(r Report) ([]htmlPlot, error) {
	var plots []htmlPlot
	for _, l := range r.Workspaces[:min(maxPlots, len(r.Workspaces))] {
		svg, err := plotSeries(r.At, r.set[l.ID])
		if err != nil {
			return nil, err
		}
		title := string(l.ID.Service) + " / " + orDash(string(l.ID.Workspace))
		plots = append(plots, htmlPlot{Title: title, SVG: svg})
	}
	return plots, nil
}

// plotSeries returns a plot of the failed, slow and limited requests of a series
// in the hour up to at, as an svg element.
func plotSeries(at Minute, s *Series) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = "share of requests"
	p.Y.Min = 0
	curves := []struct {
		name  string
		value func(Cell) float64
	}{
		{"failed", failedShare},
		{"slow", slowShare},
		{"limited", func(c Cell) float64 { return share(c.Limited, c.Total+c.Limited) }},
	}
	for i, c := range curves {
		line, err := plotter.NewLine(points(at, s, c.value))
		if err != nil {
			return "", eris.Wrapf(err, "plot %s requests", c.name)
		}
		line.Color = curveColor(i)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(newCanvas(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", eris.Wrap(err, "write a plot")
	}
	return template.HTML(stripProlog(buf.Bytes())), nil
}

// points returns one point for each minute of the last hour: the minute relative
// to at, and the value of its cell.
func points(at Minute, s *Series, value func(Cell) float64) plotter.XYs {
	const minutes = 60
	out := make(plotter.XYs, 0, minutes)
	for m := at - minutes + 1; m <= at; m++ {
		out = append(out, plotter.XY{X: float64(m - at), Y: value(s.cellAt(m))})
	}
	return out
}
