package kctplot

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"
)

// Guards against malformed SVG when names need escapes or when lines have no points.
func TestChartWellFormed(t *testing.T) {
	for _, c := range []Chart{
		{},
		{Title: "a < b & c", Lines: []Line{{Name: `"x"`, Points: []Point{{0, 0}, {1, 3}}}, {Name: "none"}}},
	} {
		var b bytes.Buffer
		if err := c.Write(&b); err != nil {
			t.Fatal(err)
		}
		d := xml.NewDecoder(&b)
		for {
			_, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}
