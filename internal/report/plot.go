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

// line is one curve of a plot.
type line struct {
	name, colour string
	of           func(*ledger.Sample) int
}

const (
	plotWidth, plotHeight = 420, 170
	left, right, top, low = 46, 8, 24, 24
)

// plotter draws samples over time on a canvas.
type plotter struct {
	canvas   *svg.SVG
	samples  []ledger.Sample
	lines    []line
	from, to int64 // of the samples, in milliseconds
	most     int   // greatest value
}

// plot draws samples over time. A gap in the samples is a gap in the curve: what was not
// seen is not drawn.
func plot(title string, samples []ledger.Sample, lines []line) template.HTML {
	var b bytes.Buffer
	p := &plotter{canvas: svg.New(&b), samples: samples, lines: lines, from: samples[0].AtMS, to: samples[len(samples)-1].AtMS, most: 1}
	for i := range samples {
		for _, l := range lines {
			p.most = max(p.most, l.of(&samples[i]))
		}
	}
	p.canvas.Startview(plotWidth, plotHeight, 0, 0, plotWidth, plotHeight)
	p.canvas.Title(title)
	p.axes()
	p.heading(title)
	for _, l := range lines {
		p.curve(l)
	}
	p.canvas.End()
	// All of it is numbers and fixed words. The declaration before it is not for HTML.
	s := b.String()
	return template.HTML(s[strings.Index(s, "<svg"):])
}

func (p *plotter) x(ms int64) int {
	return left + int(float64(ms-p.from)/float64(max(1, p.to-p.from))*float64(plotWidth-left-right))
}

func (p *plotter) y(v int) int { return plotHeight - low - v*(plotHeight-top-low)/p.most }

// axes draws lines for no, half and the greatest value, and the times of both ends.
func (p *plotter) axes() {
	const small = "font:11px sans-serif;fill:#555"
	for _, v := range []int{0, p.most / 2, p.most} {
		p.canvas.Line(left, p.y(v), plotWidth-right, p.y(v), "stroke:#ddd")
		p.canvas.Text(left-6, p.y(v)+4, thousands(v), small+";text-anchor:end")
	}
	for _, ms := range []int64{p.from, p.to} {
		anchor := "start"
		if ms == p.to {
			anchor = "end"
		}
		p.canvas.Text(p.x(ms), plotHeight-8, time.UnixMilli(ms).UTC().Format("15:04"), small+";text-anchor:"+anchor)
	}
}

// heading writes the title, and from the right the names of the curves.
func (p *plotter) heading(title string) {
	p.canvas.Text(left, 14, title, "font:bold 12px sans-serif;fill:#222")
	at := plotWidth - right
	for _, l := range slices.Backward(p.lines) {
		p.canvas.Text(at, 14, l.name, fmt.Sprintf("font:12px sans-serif;text-anchor:end;fill:%s", l.colour))
		at -= 8*len(l.name) + 8
	}
}

// curve draws a line for each stretch of samples without a gap.
func (p *plotter) curve(l line) {
	var xs, ys []int
	flush := func() {
		if len(xs) > 1 {
			p.canvas.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+l.colour)
		} else if len(xs) == 1 {
			p.canvas.Circle(xs[0], ys[0], 2, "fill:"+l.colour)
		}
		xs, ys = nil, nil
	}
	for i := range p.samples {
		s := &p.samples[i]
		if i > 0 && s.AtMS-p.samples[i-1].AtMS > 2*ledger.SamplePause.Milliseconds() {
			flush()
		}
		xs, ys = append(xs, p.x(s.AtMS)), append(ys, p.y(l.of(s)))
	}
	flush()
}
