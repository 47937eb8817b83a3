package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// colours are the colours of the lines of a chart, in order.
var colours = []color.RGBA{
	{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {255, 127, 14, 255}, {148, 103, 189, 255}, {140, 86, 75, 255},
	{23, 190, 207, 255},
}

// Plot sizes.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// line is one curve of a chart.
type line struct {
	name   string
	points plotter.XYs
}

// chart is a diagram of lines over time.
type chart struct {
	title, yLabel string
	yMax          float64 // 0: fitted to the lines
	lines         []line
}

// HTML writes the result to a file as one page without external references and replaces an existing file atomically.
func (r *Report) HTML(path string) error {
	page, err := r.page()
	if err != nil {
		return fmt.Errorf("drawing the page: %w", err)
	}
	return replaceFile(path, page)
}

// page returns the HTML page.
func (r *Report) page() ([]byte, error) {
	var plots []template.HTML
	for _, c := range r.charts() {
		svg, err := r.drawChart(&c)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	workers, err := r.drawWorkers()
	if err != nil {
		return nil, err
	}
	plots = append(plots, workers)
	var text bytes.Buffer
	if err := r.Text(&text); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = pageTemplate.Execute(&out, struct {
		R     *Report
		Text  string
		Plots []template.HTML
	}{r, text.String(), plots})
	return out.Bytes(), err
}

// charts returns the charts of the time series.
func (r *Report) charts() []chart {
	requested := make(plotter.XYs, 0, len(r.Series))
	p50 := make(plotter.XYs, 0, len(r.Series))
	p99 := make(plotter.XYs, 0, len(r.Series))
	var goodput plotter.XYs
	for _, p := range r.Series {
		requested = append(requested, plotter.XY{X: p.At, Y: float64(p.Requested)})
		if p.Value > 0 {
			goodput = append(goodput, plotter.XY{X: p.At, Y: p.Good / p.Value})
		}
		p50 = append(p50, plotter.XY{X: p.At, Y: p.P50})
		p99 = append(p99, plotter.XY{X: p.At, Y: p.P99})
	}
	return []chart{
		{"Goodput: worth in time over worth asked, by when it was asked for", "part", 1.05, []line{{"goodput", goodput}}},
		{"Latency of what was served, from when it was wanted", "ms", 0, []line{{"p50", p50}, {"p99", p99}}},
		{"Requests asked for, each half second", "requests", 0, []line{{"asked", requested}}},
		{"Requests not served, by their last answer, each half second", "requests", 0, r.failureLines()},
	}
}

// failureLines returns a line for each outcome other than served.
func (r *Report) failureLines() []line {
	var lines []line
	for _, outcome := range outcomesOf(r.Series) {
		if outcome == "served" {
			continue
		}
		l := line{name: outcome}
		for _, p := range r.Series {
			l.points = append(l.points, plotter.XY{X: p.At, Y: float64(p.Outcomes[outcome])})
		}
		lines = append(lines, l)
	}
	return lines
}

// outcomesOf returns the outcomes that occur in a series, sorted.
func outcomesOf(series []Point) []string {
	known := map[string]bool{}
	for _, p := range series {
		for outcome := range p.Outcomes {
			known[outcome] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// drawChart draws lines over time, with the faults as bands behind them.
func (r *Report) drawChart(c *chart) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "seconds", c.yLabel
	p.X.Min, p.X.Max, p.Y.Min = 0, max(r.Seconds, 1), 0
	p.Y.Max = c.yAxisEnd()
	if err := r.addFaultBands(p); err != nil {
		return "", err
	}
	for i, l := range c.lines {
		if len(l.points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Legend.Top = true
	return svgOf(p)
}

// yAxisEnd returns the largest value of the y axis.
func (c *chart) yAxisEnd() float64 {
	if c.yMax > 0 {
		return c.yMax
	}
	top := 1.0
	for _, l := range c.lines {
		for _, point := range l.points {
			top = max(top, point.Y*1.05)
		}
	}
	return top
}

// addFaultBands adds a band for the duration of each fault, with a minimum width that keeps it visible.
func (r *Report) addFaultBands(p *plot.Plot) error {
	for _, f := range r.Faults {
		until := min(max(f.Until, f.At+r.Seconds/200), p.X.Max)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.At, Y: 0}, {X: until, Y: 0}, {X: until, Y: p.Y.Max}, {X: f.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		band.Color = color.RGBA{200, 160, 60, 40}
		band.Width = 0
		p.Add(band)
	}
	return nil
}

// maxNamedWorkers is the largest number of workers for which the chart shows names.
const maxNamedWorkers = 40

// drawWorkers draws each worker's share of the work beside its share of the capacity.
func (r *Report) drawWorkers() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Part of the work done by each worker (blue) and of the capacity (grey)", "part"
	work, capacity := make(plotter.Values, len(r.Workers)), make(plotter.Values, len(r.Workers))
	names := make([]string, 0, len(r.Workers))
	for i, w := range r.Workers {
		work[i], capacity[i] = w.Share, w.Capacity
		names = append(names, w.Name)
	}
	if len(r.Workers) == 0 {
		return svgOf(p)
	}
	width := plotWidth / vg.Length(3*len(r.Workers)+2)
	if err := addBars(p, work, width, -width/2, colours[0]); err != nil {
		return "", err
	}
	if err := addBars(p, capacity, width, width/2, color.RGBA{170, 170, 170, 255}); err != nil {
		return "", err
	}
	if len(names) <= maxNamedWorkers {
		p.NominalX(names...)
	}
	return svgOf(p)
}

// addBars adds a bar for each value.
func addBars(p *plot.Plot, values plotter.Values, width, offset vg.Length, colour color.RGBA) error {
	bars, err := plotter.NewBarChart(values, width)
	if err != nil {
		return err
	}
	bars.LineStyle.Width = 0
	bars.Color, bars.Offset = colour, offset
	p.Add(bars)
	return nil
}

// svgOf returns a plot as an SVG element for a page.
func svgOf(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // an XML declaration is not allowed within a page
	}
	return template.HTML(svg), nil // safe: the plot library escapes text
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>birchfork lab: {{.R.Scenario}}, seed {{.R.Seed}}, {{.R.Policy}}</title>
<style>body{font-family:sans-serif;max-width:64em;margin:1em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}svg{max-width:100%;height:auto}
.bad{color:#b00}</style></head><body>
<h1>{{.R.Scenario}}, seed {{.R.Seed}}, {{.R.Policy}}</h1>
<p>{{.R.About}}</p>
{{if .R.Interrupted}}<p class="bad">The run was broken off: this is its first part.</p>{{end}}
{{if .R.RanLate}}<p class="bad">The rig itself ran late: the figures are worth little.</p>{{end}}
<pre>{{.Text}}</pre>
{{range .Plots}}<div>{{.}}</div>
{{end}}
{{if .R.Faults}}<h2>Troubles (shaded above)</h2><table><tr><th>from</th><th>to</th><th>what</th><th>whom</th></tr>
{{range .R.Faults}}<tr><td>{{printf "%.1f" .At}} s</td><td>{{printf "%.1f" .Until}} s</td><td>{{.Kind}}</td><td>{{.Target}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))
