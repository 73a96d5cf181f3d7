package kctslope

import (
	"math"

	"kingcupturn/io/kctplot"
)

// Fit is the least-squares line through measured points.
type Fit struct {
	Slope     float64
	Intercept float64
	// Residual is the root mean square of the vertical distances to the line, in the unit of Y.
	Residual float64
}

// NewFit fits a line; with fewer than two distinct X the line is flat at the mean.
func NewFit(points []kctplot.Point) Fit {
	n := float64(len(points))
	if n == 0 {
		return Fit{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	f := Fit{Intercept: meanY}
	if xx > 0 {
		f.Slope = xy / xx
		f.Intercept = meanY - f.Slope*meanX
	}
	var squares float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		squares += d * d / n
	}
	f.Residual = math.Sqrt(squares)
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
