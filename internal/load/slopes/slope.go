// Package slopes measures how the cost of the decision packages grows with their
// state: bytes, CPU time and memory for one more key, shard, target, host or
// client. docs/CAPACITY.md extrapolates the slopes to the size that mangopost is
// designed for.
package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Point is one measurement: the cost of N units.
type Point struct {
	N    int     `json:"n"`
	Cost float64 `json:"cost"`
}

// Slope is a cost measured over the number of units, with the line fitted to it.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"` // what is counted, such as "shard"
	Cost    string  `json:"cost"` // what it costs, such as "bytes of JSON"
	Points  []Point `json:"points"`
	PerUnit float64 `json:"each"` // cost of one more unit
	Base    float64 `json:"base"` // cost without any units
}

// newSlope fits a line to the points by least squares.
func newSlope(name, unit, cost string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Cost: cost, Points: points}
	var sumN, sumCost, sumNN, sumNCost float64
	for _, p := range points {
		n := float64(p.N)
		sumN += n
		sumCost += p.Cost
		sumNN += n * n
		sumNCost += n * p.Cost
	}
	count := float64(len(points))
	denominator := count*sumNN - sumN*sumN
	if denominator == 0 {
		return s
	}
	s.PerUnit = (count*sumNCost - sumN*sumCost) / denominator
	s.Base = (sumCost - s.PerUnit*sumN) / count
	return s
}

// doubling returns from, 2*from, 4*from, ... up to upTo.
func doubling(from, upTo int) []int {
	var ns []int
	for n := from; n <= upTo; n *= 2 {
		ns = append(ns, n)
	}
	return ns
}

// measureSlope measures the cost at each of ns and fits a line.
func measureSlope(name, unit, cost string, ns []int, measure func(n int) float64) Slope {
	points := make([]Point, 0, len(ns))
	for _, n := range ns {
		points = append(points, Point{N: n, Cost: measure(n)})
	}
	return newSlope(name, unit, cost, points)
}

// Write writes the slopes as a table.
func Write(w io.Writer, list []Slope) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "name\tcost\tunit\tper unit\tbase\tfrom n\tto n\tcost at to n")
	for _, s := range list {
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.4g\t%.4g\t%d\t%d\t%.4g\n",
			s.Name, s.Cost, s.Unit, s.PerUnit, s.Base, first.N, last.N, last.Cost)
	}
	return tab.Flush()
}
