package kctslope

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	kctport "kingcupturn"
	"kingcupturn/io/kctplot"
	"kingcupturn/io/kctreport"

	"github.com/rotisserie/eris"
)

// WriteText writes a table with one row for each series: its line and its points.
func WriteText(w io.Writer, all []Series) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "part\tquantity\tsize\tslope\tintercept\tresidual\tpoints")
	for _, s := range all {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t", s.Part, s.Y, s.X, s.Fit.Slope, s.Fit.Intercept, s.Fit.Residual)
		for _, p := range s.Points {
			_, _ = fmt.Fprintf(t, "%.5g: %.4g  ", p.X, p.Y)
		}
		_, _ = fmt.Fprintln(t)
	}
	return eris.Wrap(t.Flush(), "write text")
}

type seriesMessage struct {
	Part      string         `json:"part"`
	X         string         `json:"x"`
	Y         string         `json:"y"`
	Slope     float64        `json:"slope"`
	Intercept float64        `json:"intercept"`
	Residual  float64        `json:"residual"`
	Points    []pointMessage `json:"points"`
}

type pointMessage struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// WriteJSON writes the series as a JSON array.
func WriteJSON(w io.Writer, all []Series) error {
	messages := make([]seriesMessage, len(all))
	for i, s := range all {
		m := seriesMessage{Part: s.Part, X: s.X, Y: s.Y, Slope: s.Fit.Slope, Intercept: s.Fit.Intercept, Residual: s.Fit.Residual}
		for _, p := range s.Points {
			m.Points = append(m.Points, pointMessage(p))
		}
		messages[i] = m
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(messages), "write JSON")
}

// readSeries reads a file written by WriteJSON.
func readSeries(name string) ([]Series, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read series")
	}
	var messages []seriesMessage
	if err := json.Unmarshal(data, &messages); err != nil {
		return nil, eris.Wrapf(kctport.ErrInvalid, "decode series in %s: %v", name, err)
	}
	all := make([]Series, len(messages))
	for i, m := range messages {
		all[i] = Series{Part: m.Part, X: m.X, Y: m.Y, Fit: Fit{Slope: m.Slope, Intercept: m.Intercept, Residual: m.Residual}}
		for _, p := range m.Points {
			all[i].Points = append(all[i].Points, kctplot.Point(p))
		}
	}
	return all, nil
}

// WritePlot writes the points and the fitted line as an SVG chart.
func (s Series) WritePlot(w io.Writer) error {
	line := make([]kctplot.Point, len(s.Points))
	for i, p := range s.Points {
		// The axes of the chart start at 0, so negative values are drawn as 0.
		line[i] = kctplot.Point{X: p.X, Y: max(0, s.Fit.At(p.X))}
	}
	c := kctplot.Chart{Title: s.Part, X: s.X, Y: s.Y, Lines: []kctplot.Line{
		{Name: "measured", Points: s.Points}, {Name: "least squares", Points: line},
	}}
	return c.Write(w)
}

// writeFiles writes slopes.json and one SVG chart for each series.
func writeFiles(dir string, all []Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create directory")
	}
	write := func(w io.Writer) error { return WriteJSON(w, all) }
	if err := kctreport.WriteFile(filepath.Join(dir, "slopes.json"), write); err != nil {
		return err
	}
	for _, s := range all {
		if err := kctreport.WriteFile(filepath.Join(dir, s.fileName()+".svg"), s.WritePlot); err != nil {
			return err
		}
	}
	return nil
}
