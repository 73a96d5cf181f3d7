package kctslope

import (
	"errors"
	"io"
	"strings"
	"testing"

	kctport "kingcupturn"
)

// Guards against a misspelt part name that is ignored, so that nothing is measured, and against a malformed --platform.
func TestSelectParts(t *testing.T) {
	if got, err := selectParts(partNames()); err != nil || len(got) != len(parts) {
		t.Errorf("all part names: selected %d parts, error %v", len(got), err)
	}
	if _, err := selectParts("fleet,flete"); !errors.Is(err, kctport.ErrInvalid) {
		t.Errorf("unknown part: error %v", err)
	}
	if err := New(io.Discard, io.Discard).ParseAndRun(t.Context(), []string{"--platform", "here"}); !errors.Is(err, kctport.ErrInvalid) {
		t.Errorf("malformed --platform: error %v", err)
	}
}

// Guards against a scrape that misses a series of the metric or counts another metric.
func TestSumSamples(t *testing.T) {
	text := "# HELP x_control_bytes_total x\nx_control_bytes_total{direction=\"in\"} 3\nx_control_bytes_total{direction=\"out\"} 1e2\nx_bytes_total 7\n"
	if got, err := sumSamples(strings.NewReader(text), controlBytes); err != nil || got != 103 {
		t.Errorf("sum %g, error %v", got, err)
	}
	if _, err := sumSamples(strings.NewReader("a 1\n"), controlBytes); err == nil {
		t.Error("no error for a missing metric")
	}
}
