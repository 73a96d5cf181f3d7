package kctreport

import (
	"bytes"
	"io"
	"net/netip"
	"testing"
	"time"

	kctport "kingcupturn"
)

// FuzzReport guards against a panic on metrics that come from an entry of another release or from another process at its address.
func FuzzReport(f *testing.F) {
	f.Add([]byte("kingcupturn_objective_total{service=\"s\",kind=\"urgent\",result=\"met\"} 3\n"))
	f.Add([]byte("# TYPE kingcupturn_latency_seconds histogram\nkingcupturn_latency_seconds_bucket{le=\"+Inf\"} 1\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(bytes.NewReader(raw), netip.AddrPort{}, time.Unix(1, 0))
		if err != nil {
			return
		}
		samples := []Sample{s, s}
		if err := Build(samples, kctport.Config{}).WriteText(io.Discard); err != nil {
			t.Error(err)
		}
		if err := WritePlot(io.Discard, samples); err != nil {
			t.Error(err)
		}
	})
}
