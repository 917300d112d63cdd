package jkpolicy

import (
	"bytes"
	"html/template"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // format svg
)

// page is the content of the HTML report.
type page struct {
	Sections []section
}

type section struct {
	Workload string
	Rows     []pageRow
	Plots    []template.HTML
}

type pageRow struct {
	Name, Target, Naive, Ordinary, Ours, Verdict string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jasmineknot policy report</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}
.missed{color:#b00}</style></head><body>
<h1>Scheduling policies</h1>
{{range .Sections}}<h2>{{.Workload}}</h2>
<table><tr><th>measure</th><th>target</th><th>naive</th><th>ordinary</th><th>jasmineknot</th><th></th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Target}}</td><td>{{.Naive}}</td><td>{{.Ordinary}}</td>
<td>{{.Ours}}</td><td class="{{.Verdict}}">{{.Verdict}}</td></tr>
{{end}}</table>
{{range .Plots}}<div>{{.}}</div>{{end}}
{{end}}</body></html>
`))

// writeHTML writes the report with its plots to a file.
func writeHTML(path string, all []*results, reports []report) error {
	var content page
	for i, r := range all {
		s := section{Workload: r.workload.Name}
		for _, row := range reports[i].Measures {
			s.Rows = append(s.Rows, pageRow{
				Name: row.Name, Target: row.target(), Naive: spread(row.Values[policyNaive]),
				Ordinary: spread(row.Values[policyOrdinary]), Ours: spread(row.Values[policyJasmineknot]), Verdict: row.verdict(),
			})
		}
		for _, draw := range []func(*results) (*plot.Plot, error){latencyPlot, peakPlot} {
			svg, err := render(draw, r)
			if err != nil {
				return err
			}
			s.Plots = append(s.Plots, svg)
		}
		content.Sections = append(content.Sections, s)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, content); err != nil {
		return eris.Wrap(err, "render report")
	}
	return eris.Wrap(os.WriteFile(path, out.Bytes(), 0o644), "write report")
}

func render(draw func(*results) (*plot.Plot, error), r *results) (template.HTML, error) {
	p, err := draw(r)
	if err != nil {
		return "", eris.Wrap(err, "draw plot")
	}
	w, err := p.WriterTo(9*vg.Inch, 4*vg.Inch, "svg")
	if err != nil {
		return "", eris.Wrap(err, "draw plot")
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return "", eris.Wrap(err, "draw plot")
	}
	// The XML declaration isn't allowed inside HTML.
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("?>"))
	return template.HTML(svg), nil
}

// latencyPlot draws p50 and p99 of the latency over the load, in multiples of the
// lower bound, for the first seed.
func latencyPlot(r *results) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.workload.Name + ": program latency over load"
	p.X.Label.Text = "load, share of capacity"
	p.Y.Label.Text = "latency / lower bound"
	// The range suits the other policies. Naive exceeds it and is cut off at 4.
	p.Y.Min, p.Y.Max = 1, 4
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	swept := sweep(r.workload, r.settings)
	for _, name := range policyNames {
		var mid, tail plotter.XYs
		for i, got := range swept[name] {
			load := r.settings.sweep[i]
			mid = append(mid, plotter.XY{X: load, Y: min(quantile(got.latency, 0.5)/quantile(got.latencyBounds, 0.5), 4)})
			tail = append(tail, plotter.XY{X: load, Y: min(quantile(got.latency, 0.99)/quantile(got.latencyBounds, 0.99), 4)})
		}
		lines = append(lines, name+" p50", mid, name+" p99", tail)
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

// peakPlot draws, per second of their release, the turns with a deadline and how many
// of them each policy answers in time, for the first seed.
func peakPlot(r *results) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.workload.Name + ": turns answered in time over the crests"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "turns per s"
	offered := r.stats(r.settings.seed, scenarioPeak, policyJasmineknot).offeredPerSecond
	lines := []any{"offered", series(offered)}
	for _, name := range policyNames {
		lines = append(lines, name, series(r.stats(r.settings.seed, scenarioPeak, name).inTimePerSecond))
	}
	p.Legend.Top = true
	p.Y.Max = slices.Max(offered) * 1.3
	return p, plotutil.AddLines(p, lines...)
}

func series(values []float64) plotter.XYs {
	out := make(plotter.XYs, len(values))
	for i, v := range values {
		out[i] = plotter.XY{X: float64(i), Y: v}
	}
	return out
}
