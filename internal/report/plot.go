package report

import (
	"bytes"
	"fmt"
	"html/template"
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

// plot draws samples over time. A gap in the samples is a gap in the curve: what was not
// seen is not drawn.
func plot(title string, samples []ledger.Sample, lines []line) template.HTML {
	var b bytes.Buffer
	c := svg.New(&b)
	c.Startview(plotWidth, plotHeight, 0, 0, plotWidth, plotHeight)
	c.Title(title)
	most := 1
	for i := range samples {
		for _, l := range lines {
			most = max(most, l.of(&samples[i]))
		}
	}
	from, to := samples[0].AtMS, samples[len(samples)-1].AtMS
	x := func(ms int64) int {
		return left + int(float64(ms-from)/float64(max(1, to-from))*float64(plotWidth-left-right))
	}
	y := func(v int) int { return plotHeight - low - v*(plotHeight-top-low)/most }
	small := "font:11px sans-serif;fill:#555"
	for _, v := range []int{0, most / 2, most} {
		c.Line(left, y(v), plotWidth-right, y(v), "stroke:#ddd")
		c.Text(left-6, y(v)+4, thousands(v), small+";text-anchor:end")
	}
	for _, ms := range []int64{from, to} {
		anchor := "start"
		if ms == to {
			anchor = "end"
		}
		c.Text(x(ms), plotHeight-8, time.UnixMilli(ms).UTC().Format("15:04"), small+";text-anchor:"+anchor)
	}
	c.Text(left, 14, title, "font:bold 12px sans-serif;fill:#222")
	at := plotWidth - right
	for i := len(lines) - 1; i >= 0; i-- {
		c.Text(at, 14, lines[i].name, fmt.Sprintf("font:12px sans-serif;text-anchor:end;fill:%s", lines[i].colour))
		at -= 8*len(lines[i].name) + 8
	}
	for _, l := range lines {
		var xs, ys []int
		flush := func() {
			if len(xs) > 1 {
				c.Polyline(xs, ys, "fill:none;stroke-width:2;stroke:"+l.colour)
			} else if len(xs) == 1 {
				c.Circle(xs[0], ys[0], 2, "fill:"+l.colour)
			}
			xs, ys = nil, nil
		}
		for i := range samples {
			if i > 0 && samples[i].AtMS-samples[i-1].AtMS > 2*ledger.SamplePause.Milliseconds() {
				flush()
			}
			xs, ys = append(xs, x(samples[i].AtMS)), append(ys, y(l.of(&samples[i])))
		}
		flush()
	}
	c.End()
	// All of it is numbers and fixed words. The declaration before it is not for HTML.
	s := b.String()
	return template.HTML(s[strings.Index(s, "<svg"):])
}
