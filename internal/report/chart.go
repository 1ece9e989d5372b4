package report

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Layout of a chart in SVG units.
const (
	chartWidth   = 720
	chartHeight  = 220
	marginLeft   = 56
	marginRight  = 12
	marginTop    = 12
	marginBottom = 28
	gridLines    = 4
)

// chart is a line chart over the time of the run.
type chart struct {
	Title  string
	Unit   string
	Series []series
}

// series is one line of a chart. NaN leaves a gap in it.
type series struct {
	Name   string
	Colour string
	Y      []float64
}

// scale maps values to the coordinates of one chart.
type scale struct{ maxX, maxY float64 }

func (s scale) x(v float64) float64 {
	return marginLeft + v/s.maxX*(chartWidth-marginLeft-marginRight)
}

func (s scale) y(v float64) float64 {
	return chartHeight - marginBottom - v/s.maxY*(chartHeight-marginTop-marginBottom)
}

// svg returns the chart as an SVG image. times are the x values in seconds.
func (c chart) svg(times []float64) template.HTML {
	s := scale{maxX: 1, maxY: niceCeiling(c.maxValue())}
	if n := len(times); n > 1 {
		s.maxX = times[n-1]
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`,
		chartWidth, chartHeight, template.HTMLEscapeString(c.Title))
	s.drawAxes(&b)
	for _, line := range c.Series {
		s.drawLine(&b, line, times)
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}

// maxValue returns the maximum of all series, at least 0.
func (c chart) maxValue() float64 {
	var maximum float64
	for _, line := range c.Series {
		for _, y := range line.Y {
			if !math.IsNaN(y) {
				maximum = max(maximum, y)
			}
		}
	}
	return maximum
}

// niceCeiling returns the smallest number that is not below v and is 1, 2 or 5
// times a power of ten. It returns 1 for v <= 0.
func niceCeiling(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, step := range []float64{1, 2, 5} {
		if step*power >= v {
			return step * power
		}
	}
	return 10 * power
}

func (s scale) drawAxes(b *strings.Builder) {
	for i := 0; i <= gridLines; i++ {
		fraction := float64(i) / gridLines
		y, x := s.y(fraction*s.maxY), s.x(fraction*s.maxX)
		fmt.Fprintf(b, `<line class="grid" x1="%d" y1="%.1f" x2="%d" y2="%.1f"/>`, marginLeft, y, chartWidth-marginRight, y)
		fmt.Fprintf(b, `<text class="tick" x="%d" y="%.1f" text-anchor="end">%.4g</text>`, marginLeft-6, y+4, fraction*s.maxY)
		fmt.Fprintf(b, `<text class="tick" x="%.1f" y="%d" text-anchor="middle">%.3g s</text>`, x, chartHeight-8, fraction*s.maxX)
	}
}

func (s scale) drawLine(b *strings.Builder, line series, times []float64) {
	var path strings.Builder
	command := "M"
	for i, y := range line.Y {
		if math.IsNaN(y) {
			command = "M"
			continue
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", command, s.x(times[i]), s.y(y))
		command = "L"
	}
	fmt.Fprintf(b, `<path fill="none" stroke="%s" stroke-width="1.5" d="%s"/>`, line.Colour, path.String())
}
