package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The colours of lines, in their order.
var colours = []color.RGBA{
	{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {255, 127, 14, 255}, {148, 103, 189, 255}, {140, 86, 75, 255},
	{23, 190, 207, 255},
}

// Plot sizes.
const (
	plotWide = 24 * vg.Centimeter
	plotHigh = 8 * vg.Centimeter
)

// line is one curve.
type line struct {
	name string
	xy   plotter.XYs
}

// HTML writes the result to a file as one page without external links and replaces an existing file atomically.
func (r *Report) HTML(path string) error {
	page, err := r.page()
	if err != nil {
		return fmt.Errorf("drawing the page: %w", err)
	}
	return replace(path, page)
}

func (r *Report) page() ([]byte, error) {
	asked := make(plotter.XYs, 0, len(r.Series))
	p50 := make(plotter.XYs, 0, len(r.Series))
	p99 := make(plotter.XYs, 0, len(r.Series))
	var good plotter.XYs
	for _, p := range r.Series {
		asked = append(asked, plotter.XY{X: p.At, Y: float64(p.Requested)})
		if p.Value > 0 {
			good = append(good, plotter.XY{X: p.At, Y: p.Good / p.Value})
		}
		p50 = append(p50, plotter.XY{X: p.At, Y: p.P50})
		p99 = append(p99, plotter.XY{X: p.At, Y: p.P99})
	}
	var bad []line
	for _, why := range reasons(r.Series) {
		if why == "served" {
			continue
		}
		l := line{name: why}
		for _, p := range r.Series {
			l.xy = append(l.xy, plotter.XY{X: p.At, Y: float64(p.Outcomes[why])})
		}
		bad = append(bad, l)
	}
	var plots []template.HTML
	for _, one := range []struct {
		title, y string
		most     float64 // of the axis; 0: as the lines want
		lines    []line
	}{
		{"Goodput: worth in time over worth asked, by when it was asked for", "part", 1.05, []line{{"goodput", good}}},
		{"Latency of what was served, from when it was wanted", "ms", 0, []line{{"p50", p50}, {"p99", p99}}},
		{"Requests asked for, each half second", "requests", 0, []line{{"asked", asked}}},
		{"Requests not served, by their last answer, each half second", "requests", 0, bad},
	} {
		svg, err := r.curve(one.title, one.y, one.most, one.lines)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	bars, err := r.bars()
	if err != nil {
		return nil, err
	}
	plots = append(plots, bars)
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

// reasons returns the outcomes that occur in a series, sorted.
func reasons(series []Point) []string {
	seen := map[string]bool{}
	for _, p := range series {
		for k := range p.Outcomes {
			seen[k] = true
		}
	}
	out := make([]string, 0, len(seen))
	for k := range seen {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// curve draws lines over time, with the faults as bands behind them.
func (r *Report) curve(title, y string, most float64, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.X.Min, p.X.Max, p.Y.Min = 0, max(r.Seconds, 1), 0
	top := most
	for _, l := range lines {
		for _, at := range l.xy {
			if most == 0 {
				top = max(top, at.Y*1.05)
			}
		}
	}
	p.Y.Max = max(top, 1)
	if most > 0 {
		p.Y.Max = most
	}
	for _, f := range r.Faults {
		until := min(max(f.Until, f.At+r.Seconds/200), p.X.Max)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.At, Y: 0}, {X: until, Y: 0}, {X: until, Y: p.Y.Max}, {X: f.At, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		band.Color = color.RGBA{200, 160, 60, 40}
		band.Width = 0
		p.Add(band)
	}
	for i, l := range lines {
		if len(l.xy) == 0 {
			continue
		}
		c, err := plotter.NewLine(l.xy)
		if err != nil {
			return "", err
		}
		c.Color, c.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	p.Legend.Top = true
	return svgOf(p, plotHigh)
}

// bars draws each worker's share of the work beside its share of the capacity.
func (r *Report) bars() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Part of the work done by each worker (blue) and of the capacity (grey)", "part"
	did, can := make(plotter.Values, len(r.Workers)), make(plotter.Values, len(r.Workers))
	names := make([]string, 0, len(r.Workers))
	for i, w := range r.Workers {
		did[i], can[i] = w.Share, w.Capacity
		names = append(names, w.Name)
	}
	if len(did) > 0 {
		wide := plotWide / vg.Length(3*len(did)+2)
		for i, v := range []plotter.Values{did, can} {
			b, err := plotter.NewBarChart(v, wide)
			if err != nil {
				return "", err
			}
			b.LineStyle.Width = 0
			b.Color = colours[0]
			b.Offset = -wide / 2
			if i == 1 {
				b.Color, b.Offset = color.RGBA{170, 170, 170, 255}, wide/2
			}
			p.Add(b)
		}
		if len(names) <= 40 {
			p.NominalX(names...)
		}
	}
	return svgOf(p, plotHigh)
}

func svgOf(p *plot.Plot, high vg.Length) (template.HTML, error) {
	c := vgsvg.New(plotWide, high)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // a page holds no XML head
	}
	return template.HTML(svg), nil // drawn by the library, which escapes text
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
{{range .R.Faults}}<tr><td>{{printf "%.1f" .At}} s</td><td>{{printf "%.1f" .Until}} s</td><td>{{.Kind}}</td><td>{{.Whom}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))
