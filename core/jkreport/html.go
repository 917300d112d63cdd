package jkreport

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"measure": measure, "scope": scope, "percent": percent, "burn": burnText, "duration": shortDuration,
}).Parse(pageText))

// burnCurves are the burn rates shown in a plot, by the length of their window.
var burnCurves = []struct {
	minutes int
	label   string
	color   color.Color
}{
	{5, "burn over 5 min", color.RGBA{R: 0x9a, G: 0xb8, B: 0xd8, A: 0xff}},
	{60, "burn over 1 h", color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}},
}

// pageObjective is an objective with its plot.
type pageObjective struct {
	Objective
	Plot template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error {
	data := struct {
		Report
		Rows  []pageObjective
		Notes []string
	}{Report: r, Notes: Notes(r)}
	for _, o := range r.Objectives {
		svg, err := plotSVG(o)
		if err != nil {
			return eris.Wrapf(err, "plot objective %s", o.Name)
		}
		data.Rows = append(data.Rows, pageObjective{Objective: o, Plot: svg})
	}
	return page.Execute(w, data)
}

// newPlot returns a plot of an objective's burn rates and alarm thresholds.
func newPlot(o Objective) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for _, c := range burnCurves {
		line, err := plotter.NewLine(o.burnPoints(c.minutes))
		if err != nil {
			return nil, err
		}
		line.Color = c.color
		p.Add(line)
		p.Legend.Add(c.label, line)
	}
	for _, rule := range o.AlarmRules {
		line := plotter.NewFunction(func(float64) float64 { return rule.Threshold })
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		line.Color = color.RGBA{R: 0xb0, G: 0x30, B: 0x30, A: 0xff}
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("alarm %d/%d min", rule.Short, rule.Long), line)
		p.Y.Max = math.Max(p.Y.Max, rule.Threshold*1.1)
	}
	return p, nil
}

// plotSVG returns the plot as an SVG element. Its labels consist of numbers and fixed
// words only, so they need no escaping.
func plotSVG(o Objective) (template.HTML, error) {
	p, err := newPlot(o)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML declaration is not allowed inside an HTML page.
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // the text is our own plot
}

// burnPoints returns, for each minute, the burn rate over a sliding window of the given
// length.
func (o *Objective) burnPoints(minutes int) plotter.XYs {
	points := make(plotter.XYs, 0, len(o.perMinute))
	for age := len(o.perMinute) - 1; age >= 0; age-- {
		points = append(points, plotter.XY{X: float64(-age), Y: burnRate(o.sum(age, minutes), o.Target)})
	}
	return points
}
