package kctslope

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"kingcupturn/io/kctplot"
)

// Guards against a wrong fit to points on a line, which would make every value at the target size wrong.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, intercept := rapid.Float64Range(-100, 100).Draw(t, "slope"), rapid.Float64Range(-100, 100).Draw(t, "intercept")
		var points []kctplot.Point
		for n := range rapid.IntRange(2, 8).Draw(t, "points") {
			x := float64(n) * 9
			points = append(points, kctplot.Point{X: x, Y: intercept + slope*x})
		}
		f := NewFit(points)
		if math.Abs(f.Slope-slope) > 1e-6 || math.Abs(f.Intercept-intercept) > 1e-6 || f.Residual > 1e-6 {
			t.Fatalf("slope %g, intercept %g, fit %+v", slope, intercept, f)
		}
	})
}
