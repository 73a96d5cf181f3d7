package kctlog_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctforward"
	"kingcupturn/io/kctlog"
)

// blockedOutput is a standard output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// TestStalledReader guards against requests that block on a log that is not read, and against dropped lines that are not reported.
func TestStalledReader(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := kctlog.New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	began := time.Now()
	for range 20_000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if spent := time.Since(began); spent > 2*time.Second {
		t.Errorf("20,000 writes took %v, want at most 2 s", spent)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped though the output is blocked")
	}
	close(out.release)
	for time.Since(began) < 10*time.Second {
		out.mu.Lock()
		reported := strings.Contains(out.buffer.String(), "log lines dropped")
		out.mu.Unlock()
		if reported {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if !strings.Contains(out.buffer.String(), "log lines dropped") {
		t.Error("the dropped lines were not reported")
	}
}

// TestTraceLines guards against log lines without the request's identifier, and against events that take more than one line.
func TestTraceLines(t *testing.T) {
	var out bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&out)
	defer klog.SetOutput(&bytes.Buffer{})
	now := time.Now()
	trace := &kctforward.Trace{
		Message: &kctport.Message{ID: "abc123", Deadline: now.Add(time.Second)}, Fleet: &kctport.Fleet{LastContact: now}, Start: now,
		End: now.Add(time.Millisecond), Reply: &kctport.Reply{Status: 502, Reason: "attempt failed"}, Attempts: 1,
		Events: []kctforward.Event{{At: now, Kind: "attempt failed", Service: "s", Endpoint: "i-1", Detail: errors.Join(kctport.ErrReset, kctport.ErrUnknown).Error()}},
	}
	kctlog.DecisionLogger{}.Answered(trace)
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines, want 2:\n%s", len(lines), out.String())
	}
	for _, l := range lines {
		if !strings.Contains(l, "abc123") {
			t.Errorf("line without the request identifier: %s", l)
		}
	}
	for _, part := range []string{"i-1", "502", "attempt failed", "contact"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("log without %q", part)
		}
	}
}
