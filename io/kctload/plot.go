package kctload

import (
	"io"
	"time"

	"kingcupturn/io/kctplot"
)

// WritePlot writes an SVG chart of the latency quantiles in ms over the time of arrival in s.
func (r Report) WritePlot(w io.Writer) error {
	series := []struct {
		name string
		get  func(Quantiles) time.Duration
	}{
		{"p50", func(q Quantiles) time.Duration { return q.P50 }},
		{"p90", func(q Quantiles) time.Duration { return q.P90 }},
		{"p99", func(q Quantiles) time.Duration { return q.P99 }},
	}
	c := kctplot.Chart{Title: "Latency, " + r.Workload, X: "time of arrival (s)", Y: "latency (ms)"}
	for _, o := range series {
		l := kctplot.Line{Name: o.name}
		for _, s := range r.Seconds {
			l.Points = append(l.Points, kctplot.Point{X: s.Offset.Seconds(), Y: 1000 * o.get(s.Quantiles).Seconds()})
		}
		c.Lines = append(c.Lines, l)
	}
	return c.Write(w)
}
