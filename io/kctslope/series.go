package kctslope

import (
	"strings"

	"kingcupturn/io/kctplot"
)

// Series is one quantity measured against one size, with its fitted line.
type Series struct {
	// Part names the part of the command that measured it.
	Part string
	// X names the size and Y the quantity, with units.
	X      string
	Y      string
	Points []kctplot.Point
	Fit    Fit
}

// table collects the series of a part in the order of their first points.
type table struct {
	part   string
	series []*Series
}

// add appends a point to the series of size x and quantity y.
func (t *table) add(x string, size float64, y string, value float64) {
	point := kctplot.Point{X: size, Y: value}
	for _, s := range t.series {
		if s.X == x && s.Y == y {
			s.Points = append(s.Points, point)
			return
		}
	}
	t.series = append(t.series, &Series{Part: t.part, X: x, Y: y, Points: []kctplot.Point{point}})
}

// fitted returns the series with their fitted lines.
func (t *table) fitted() []Series {
	out := make([]Series, len(t.series))
	for i, s := range t.series {
		out[i] = *s
		out[i].Fit = NewFit(s.Points)
	}
	return out
}

// fileName returns a file name for the series, without an extension.
func (s Series) fileName() string {
	name := s.Part + "-" + s.Y + "-by-" + s.X
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
}
