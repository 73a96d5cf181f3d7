package kctplot

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// Chart is a line chart; both axes start at 0.
type Chart struct {
	Title string
	// X and Y name the axes with their units.
	X     string
	Y     string
	Lines []Line
}

// Line is one named line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Point is a point in the units of the axes.
type Point struct {
	X float64
	Y float64
}

// Sizes in SVG user units.
const (
	width  = 800.0
	height = 400.0
	left   = 70.0
	top    = 40.0
	right  = 170.0
	bottom = 50.0
	ticks  = 5
)

var colors = []string{"#1b6ca8", "#c8553d", "#588157", "#8e6c8a", "#e0a030", "#444444"}

// scale maps values to the plot area; x and y are the ends of the axes, which start at 0.
type scale struct{ x, y float64 }

func (s scale) position(p Point) (float64, float64) {
	return left + p.X/s.x*(width-left-right), height - bottom - p.Y/s.y*(height-top-bottom)
}

// Write writes the chart as an SVG document.
func (c Chart) Write(w io.Writer) error {
	var b bytes.Buffer
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %g %g" font-family="sans-serif" font-size="12">`, width, height)
	p(`<rect width="%g" height="%g" fill="white"/>`, width, height)
	p(`<text x="%g" y="%g" font-size="16">%s</text>`, left, top/2, escape(c.Title))
	s := c.scale()
	c.axes(p, s)
	for i, l := range c.Lines {
		color := colors[i%len(colors)]
		p(`<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, color, s.points(l))
		y := top + 18*float64(i)
		p(`<rect x="%g" y="%g" width="12" height="12" fill="%s"/>`, width-right+15, y, color)
		p(`<text x="%g" y="%g">%s</text>`, width-right+33, y+11, escape(l.Name))
	}
	p(`</svg>`)
	_, err := w.Write(b.Bytes())
	return eris.Wrap(err, "write SVG")
}

func (c Chart) scale() scale {
	var s scale
	for _, l := range c.Lines {
		for _, p := range l.Points {
			s.x, s.y = math.Max(s.x, p.X), math.Max(s.y, p.Y)
		}
	}
	return scale{x: roundUp(s.x), y: roundUp(s.y)}
}

func (c Chart) axes(p func(string, ...any), s scale) {
	for i := range ticks + 1 {
		fraction := float64(i) / ticks
		x, _ := s.position(Point{X: s.x * fraction})
		_, y := s.position(Point{Y: s.y * fraction})
		p(`<line x1="%g" y1="%g" x2="%g" y2="%g" stroke="#dddddd"/>`, left, y, width-right, y)
		p(`<text x="%g" y="%g" text-anchor="end">%.4g</text>`, left-6, y+4, s.y*fraction)
		p(`<text x="%g" y="%g" text-anchor="middle">%.4g</text>`, x, height-bottom+16, s.x*fraction)
	}
	p(`<text x="%g" y="%g" text-anchor="middle">%s</text>`, (left+width-right)/2, height-12, escape(c.X))
	p(`<text x="16" y="%g" text-anchor="middle" transform="rotate(-90 16 %g)">%s</text>`, height/2, height/2, escape(c.Y))
}

func (s scale) points(l Line) string {
	var b bytes.Buffer
	for _, point := range l.Points {
		x, y := s.position(point)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return b.String()
}

// roundUp rounds an axis end up to 1, 2 or 5 times a power of ten; it returns 1 for values up to 0.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 5} {
		if v <= f*power {
			return f * power
		}
	}
	return 10 * power
}

func escape(text string) string {
	var b bytes.Buffer
	// Writes to a bytes.Buffer never fail.
	_ = xml.EscapeText(&b, []byte(text))
	return b.String()
}
