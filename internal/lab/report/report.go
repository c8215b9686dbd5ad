// Package report writes an HTML page about an experiment. The page is one file that contains its charts and loads nothing.
// It is readable on a phone, in print and without colours.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"stoatdale.example/stoatdale/internal/lab/experiment"
	"stoatdale.example/stoatdale/internal/lab/model"
)

// Curve is the service of a policy in each second, over all seeds. The service of a second is the share of the benefit of
// the commands that clients sent in that second that was earned then or later, from 0 to 1.
type Curve struct {
	Policy  string
	Service []float64 // by second; NaN for a second without commands
}

// Curves returns the curves of all policies, in the order in which the policies first appear in the runs.
func Curves(runs []experiment.Run) []Curve {
	var curves []Curve
	sums := map[string][]model.Second{}
	for _, r := range runs {
		if sums[r.Policy] == nil {
			curves = append(curves, Curve{Policy: r.Policy})
		}
		for i, s := range r.Tally.Series {
			for len(sums[r.Policy]) <= i {
				sums[r.Policy] = append(sums[r.Policy], model.Second{})
			}
			sums[r.Policy][i].Benefit += s.Benefit
			sums[r.Policy][i].Earned += s.Earned
		}
	}
	for i := range curves {
		for _, s := range sums[curves[i].Policy] {
			v := math.NaN()
			if s.Benefit > 0 {
				v = s.Earned / s.Benefit
			}
			curves[i].Service = append(curves[i].Service, v)
		}
	}
	return curves
}

// lineStyles are the line styles of the policies. They differ in dashes, width and shade of grey, not in colour.
var lineStyles = []struct {
	dashes []vg.Length
	width  vg.Length
	shade  uint8
}{
	{nil, 2.5, 0},
	{nil, 1, 0},
	{[]vg.Length{8, 3}, 1.5, 0},
	{[]vg.Length{2, 2}, 1.5, 0},
	{[]vg.Length{8, 2, 2, 2}, 1.5, 0},
	{nil, 2.5, 150},
	{[]vg.Length{8, 3}, 2.5, 150},
	{[]vg.Length{2, 2}, 2.5, 150},
}

// Chart returns the curves as an SVG image. Vertical lines mark the start and end of each fault.
func Chart(spec *model.Spec, curves []Curve) (string, error) {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "service"
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.X.Min, chart.X.Max = 0, float64(spec.Seconds)
	chart.Legend.Top, chart.Legend.Left = false, true
	for _, f := range spec.Faults {
		for _, at := range []float64{float64(f.At), float64(f.At + f.Duration)} {
			line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: 1}})
			if err != nil {
				return "", fmt.Errorf("chart: %w", err)
			}
			line.Width, line.Color = 0.5, color.Gray{Y: 170}
			chart.Add(line)
		}
	}
	for i, c := range curves {
		var points plotter.XYs
		for at, v := range c.Service {
			if !math.IsNaN(v) {
				points = append(points, plotter.XY{X: float64(at) + 0.5, Y: v})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("chart: %w", err)
		}
		style := lineStyles[i%len(lineStyles)]
		line.Width, line.Dashes, line.Color = style.width, style.dashes, color.Gray{Y: style.shade}
		chart.Add(line)
		chart.Legend.Add(c.Policy, line)
	}
	canvas := vgsvg.New(24*vg.Centimeter, 12*vg.Centimeter)
	chart.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 { // skip the XML declaration, which is not allowed within HTML
		svg = svg[i:]
	}
	return svg, nil
}

// Page returns the report of an experiment as HTML.
func Page(spec *model.Spec, runs []experiment.Run) ([]byte, error) {
	chart, err := Chart(spec, Curves(runs))
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = pageTemplate.Execute(&b, struct {
		Spec  *model.Spec
		Rows  []experiment.Row
		Runs  []experiment.Run
		Chart template.HTML
	}{spec, experiment.Table(runs), runs, template.HTML(chart)}) // safe to embed: Chart has made it
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return b.Bytes(), nil
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"share": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"ms":    func(v float64) string { return fmt.Sprintf("%.1f", v*1000) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Spec.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:1em auto;padding:0 .5em}.wide{overflow-x:auto}svg{width:100%;height:auto}
table{border-collapse:collapse}td,th{padding:.2em .6em;border-bottom:1px solid #999;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body>
<h1>{{.Spec.Name}}</h1>
<p>{{.Spec.Fleet.Routers}} routers, {{.Spec.Fleet.Shards}} shards of a primary and {{.Spec.Fleet.Replicas}} replicas, {{printf "%g" .Spec.Seconds}} s, {{len .Spec.Seeds}} seeds.</p>
<h2>Policies</h2><div class="wide"><table><tr><th>policy</th><th>service</th><th>lowest</th><th>highest</th><th>in target</th><th>reads on primary</th><th>attempts per command</th><th>violated properties</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{share .Service}}</td><td>{{share .Lowest}}</td><td>{{share .Highest}}</td><td>{{share .InTarget}}</td><td>{{share .PrimaryReads}}</td><td>{{printf "%.2f" .Attempts}}</td><td>{{range .Violations}}{{.}}; {{end}}</td></tr>
{{end}}</table></div>
<h2>Service over time</h2><p>Earned share of the benefit of the commands that clients sent in each second, over all seeds. Vertical lines mark the start and end of faults.</p>{{.Chart}}
<h2>Faults</h2><div class="wide"><table><tr><th>fault</th><th>where</th><th>at, s</th><th>for, s</th></tr>
{{range .Spec.Faults}}<tr><td>{{.Kind}}</td><td>{{if eq .Kind "restart"}}router {{.Router}}{{else}}shard {{.Shard}}, backend {{.Backend}}{{end}}</td><td>{{printf "%g" .At}}</td><td>{{printf "%g" .Duration}}</td></tr>
{{end}}</table></div>
<h2>Response times, ms</h2><p>From the client's first attempt to the answer. Commands without an answer are not counted.</p><div class="wide"><table><tr><th>policy</th><th>seed</th><th>group</th><th>answered</th><th>p50</th><th>p99</th><th>p99.9</th></tr>
{{range $r := .Runs}}{{range .Groups}}<tr><td>{{$r.Policy}}</td><td>{{$r.Seed}}</td><td>{{.Name}}</td><td>{{.Answered}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td><td>{{ms .P999}}</td></tr>
{{end}}{{end}}</table></div>
</body></html>
`))
