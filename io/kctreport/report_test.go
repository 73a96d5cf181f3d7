package kctreport

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctmetric"
)

// entry starts a server with the metrics of an entry after the given numbers of requests and a configuration with one exception; it returns its address.
func entry(t *testing.T, urgent, ordinary int, latency time.Duration) string {
	m := kctmetric.New()
	record := func(kind kctmetric.Kind, latency time.Duration) {
		m.Record(nil, kctmetric.Request{
			Services: []kctport.ServiceName{"s"}, Kind: kind, Latency: latency, Deadline: time.Second,
			Coverage: kctport.Coverage{Answered: 1, Total: 1},
		})
	}
	for range urgent {
		record(kctmetric.KindUrgent, latency)
	}
	for range ordinary {
		record(kctmetric.KindOrdinary, latency)
	}
	m.RegisterCounter(kctmetric.AttemptsFirst, func() uint64 { return 100 })
	m.RegisterCounter(kctmetric.AttemptsHedge, func() uint64 { return 4 })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":3,"exceptions":[{"name":"x","service":"s","field":"hedge","value":"false","reason":"trial"}]}`))
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestCommand guards against a report that leaves out an entry, a kind of request or an exception, and against a different report from saved samples.
func TestCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "samples")
	plot := filepath.Join(t.TempDir(), "plot")
	entries := []string{"--entry", entry(t, 10, 30, 100*time.Millisecond), "--entry", entry(t, 0, 60, 300*time.Millisecond)}
	live := execute(t, append(entries, "--count", "2", "--interval", "1ms", "--save", file, "--plot", plot)...)
	for _, want := range []string{
		"burn report of 2 entries", "configuration revision 3",
		"s urgent 10 99.000% 100.000%",
		"s ordinary 90 99.000% 33.333%",
		"p99 at most 315ms", "4.00%", "120 of 120", "urgent on time: 10 of 10", "hedge false", "trial",
	} {
		if !strings.Contains(strings.Join(strings.Fields(live), " "), want) {
			t.Errorf("no %q in the report:\n%s", want, live)
		}
	}
	if saved := execute(t, "--samples", file); saved != live {
		t.Errorf("the report from saved samples differs:\n%s\n%s", live, saved)
	}
	if raw, err := os.ReadFile(plot); err != nil || !bytes.Contains(raw, []byte("polyline")) {
		t.Errorf("plot: %v, %d bytes", err, len(raw))
	}
}

// execute runs the command and returns its output.
func execute(t *testing.T, args ...string) string {
	t.Helper()
	var out, stderr bytes.Buffer
	if err := New(&out, &stderr).ParseAndRun(t.Context(), args); err != nil {
		t.Fatalf("%v: %s", err, stderr.String())
	}
	return out.String()
}
