package kctreport

import (
	"io"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctmetric"
	"kingcupturn/io/kctplot"
)

// WritePlot writes an SVG chart of the percentage of requests of each service that missed the objective, over time.
func WritePlot(w io.Writer, samples []Sample) error {
	c := kctplot.Chart{Title: "Requests that missed the objective", X: "time (s)", Y: "missed since the start (%)"}
	lines := map[kctport.ServiceName]int{}
	var first time.Time
	for i, s := range samples {
		if first.IsZero() {
			first = s.At
		}
		if i+1 < len(samples) && samples[i+1].At.Equal(s.At) {
			continue
		}
		for _, name := range serviceNames(samples[:i+1]) {
			service := kctport.ServiceName(name)
			if _, ok := lines[service]; !ok {
				lines[service] = len(c.Lines)
				c.Lines = append(c.Lines, kctplot.Line{Name: name})
			}
			l := &c.Lines[lines[service]]
			l.Points = append(l.Points, kctplot.Point{X: s.At.Sub(first).Seconds(), Y: missedPercent(samples[:i+1], name, s.At)})
		}
	}
	return c.Write(w)
}

// missedPercent returns the percentage of the requests of a service that missed the objective up to now.
func missedPercent(samples []Sample, service string, now time.Time) float64 {
	c := increase(samples, now, func(s Sample) (float64, float64) {
		return s.sum(kctmetric.NameObjective, labels{"service": service}), s.sum(kctmetric.NameObjective, labels{"service": service, "result": "missed"})
	})
	return 100 * ratio(c.Good, c.Total, 0)
}
