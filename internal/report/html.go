package report

import (
	_ "embed"
	"html/template"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"counts": joinCounts}).Parse(pageSource))

// Colours of the chart lines.
const (
	blue   = "#2f6db3"
	green  = "#2e8b57"
	orange = "#d9822b"
	red    = "#c23b3b"
)

type pageData struct {
	Summary Summary
	Charts  []drawnChart
}

type drawnChart struct {
	Title  string
	Unit   string
	Series []series
	SVG    template.HTML
}

// WriteHTML writes one self-contained HTML page with tables and charts.
func WriteHTML(w io.Writer, s Summary) error {
	data := pageData{Summary: s}
	times := column(s.Timeline, func(i Interval) float64 { return float64(i.AtMS) / 1000 })
	for _, c := range chartsOf(s.Timeline) {
		data.Charts = append(data.Charts, drawnChart{Title: c.Title, Unit: c.Unit, Series: c.Series, SVG: c.svg(times)})
	}
	return errors.Wrap(pageTemplate.Execute(w, data), "writing the page")
}

func chartsOf(intervals []Interval) []chart {
	return []chart{
		{Title: "Rate", Unit: "attempts per second", Series: []series{
			{Name: "sent", Colour: blue, Y: column(intervals, func(i Interval) float64 { return i.Rate })},
			{Name: "served", Colour: green, Y: column(intervals, func(i Interval) float64 { return i.Served })},
			{Name: "refused", Colour: orange, Y: column(intervals, func(i Interval) float64 { return i.Refused })},
			{Name: "unknown or unanswered", Colour: red, Y: column(intervals, func(i Interval) float64 { return i.Unknown })},
		}},
		{Title: "Latency of served attempts", Unit: "milliseconds", Series: []series{
			{Name: "p50", Colour: blue, Y: column(intervals, func(i Interval) float64 { return positiveOrNaN(i.P50MS) })},
			{Name: "p99", Colour: orange, Y: column(intervals, func(i Interval) float64 { return positiveOrNaN(i.P99MS) })},
		}},
		{Title: "Imbalance", Unit: "max/mean runs of a service's targets", Series: []series{
			{Name: "maximum over all services", Colour: blue, Y: column(intervals, func(i Interval) float64 { return positiveOrNaN(i.Imbalance) })},
		}},
		{Title: "Keys requested but not served", Unit: "keys per interval", Series: []series{
			{Name: "unserved", Colour: red, Y: column(intervals, func(i Interval) float64 { return float64(i.Unserved) })},
		}},
	}
}

func column(intervals []Interval, value func(Interval) float64) []float64 {
	ys := make([]float64, len(intervals))
	for i, interval := range intervals {
		ys[i] = value(interval)
	}
	return ys
}

// positiveOrNaN maps 0, which stands for no measurement, to a gap in the line.
func positiveOrNaN(v float64) float64 {
	if v <= 0 {
		return math.NaN()
	}
	return v
}
