package report

import (
	"bytes"
	"fmt"
	"html/template"
	"slices"
	"strings"
	"time"

	svg "github.com/ajstarks/svgo"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// curve is a named value of the samples that a plot shows.
type curve struct {
	name, colour string
	value        func(*ledger.Sample) int
}

// Size of a plot and its margins, in pixels.
const (
	plotWidth, plotHeight    = 420, 170
	left, right, top, bottom = 46, 8, 24, 24
)

// plotter draws samples over time on a canvas.
type plotter struct {
	canvas   *svg.SVG
	samples  []ledger.Sample
	curves   []curve
	from, to int64 // times of the first and last sample, in Unix milliseconds
	maxValue int   // greatest value of all curves, at least 1
}

// plot draws samples over time as an SVG image. A curve has a gap where samples are
// missing.
func plot(title string, samples []ledger.Sample, curves []curve) template.HTML {
	var buffer bytes.Buffer
	p := &plotter{canvas: svg.New(&buffer), samples: samples, curves: curves, from: samples[0].AtMS, to: samples[len(samples)-1].AtMS, maxValue: 1}
	for i := range samples {
		for _, c := range curves {
			p.maxValue = max(p.maxValue, c.value(&samples[i]))
		}
	}
	p.canvas.Startview(plotWidth, plotHeight, 0, 0, plotWidth, plotHeight)
	p.canvas.Title(title)
	p.drawAxes()
	p.drawHeading(title)
	for _, c := range curves {
		p.drawCurve(c)
	}
	p.canvas.End()
	// The image contains only numbers and constant texts, so it needs no escaping. The XML
	// declaration before it is not valid in HTML.
	document := buffer.String()
	return template.HTML(document[strings.Index(document, "<svg"):])
}

// x returns the horizontal position of a time.
func (p *plotter) x(ms int64) int {
	return left + int(float64(ms-p.from)/float64(max(1, p.to-p.from))*float64(plotWidth-left-right))
}

// y returns the vertical position of a value.
func (p *plotter) y(value int) int {
	return plotHeight - bottom - value*(plotHeight-top-bottom)/p.maxValue
}

// drawAxes draws lines at zero, at half and at the greatest value, and the times of both
// ends.
func (p *plotter) drawAxes() {
	const small = "font:11px sans-serif;fill:#555"
	for _, value := range []int{0, p.maxValue / 2, p.maxValue} {
		p.canvas.Line(left, p.y(value), plotWidth-right, p.y(value), "stroke:#ddd")
		p.canvas.Text(left-6, p.y(value)+4, thousands(value), small+";text-anchor:end")
	}
	for _, ms := range []int64{p.from, p.to} {
		anchor := "start"
		if ms == p.to {
			anchor = "end"
		}
		p.canvas.Text(p.x(ms), plotHeight-8, time.UnixMilli(ms).UTC().Format("15:04"), small+";text-anchor:"+anchor)
	}
}

// drawHeading writes the title on the left and the names of the curves on the right.
func (p *plotter) drawHeading(title string) {
	p.canvas.Text(left, 14, title, "font:bold 12px sans-serif;fill:#222")
	rightEdge := plotWidth - right
	for _, c := range slices.Backward(p.curves) {
		p.canvas.Text(rightEdge, 14, c.name, fmt.Sprintf("font:12px sans-serif;text-anchor:end;fill:%s", c.colour))
		rightEdge -= 8*len(c.name) + 8
	}
}

// drawCurve draws a line for each run of samples without a gap, and a dot for a single
// sample.
func (p *plotter) drawCurve(c curve) {
	var xs, ys []int
	flush := func() {
		if len(xs) > 1 {
			p.canvas.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+c.colour)
		} else if len(xs) == 1 {
			p.canvas.Circle(xs[0], ys[0], 2, "fill:"+c.colour)
		}
		xs, ys = nil, nil
	}
	for i := range p.samples {
		sample := &p.samples[i]
		if i > 0 && sample.AtMS-p.samples[i-1].AtMS > 2*ledger.SampleInterval.Milliseconds() {
			flush()
		}
		xs, ys = append(xs, p.x(sample.AtMS)), append(ys, p.y(c.value(sample)))
	}
	flush()
}
