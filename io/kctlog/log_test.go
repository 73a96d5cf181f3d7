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

// stalled is a reader of standard output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// TestStalledReader guards against requests that wait for a log that nobody reads, and against lines that vanish without a word.
func TestStalledReader(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
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
		t.Errorf("writing took %v", spent)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped though nobody reads")
	}
	close(out.release)
	for time.Since(began) < 10*time.Second {
		out.mu.Lock()
		told := strings.Contains(out.buffer.String(), "log lines dropped")
		out.mu.Unlock()
		if told {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if !strings.Contains(out.buffer.String(), "log lines dropped") {
		t.Error("the drop was not reported")
	}
}

// TestStory guards against a request that can't be found by its identifier, and against decisions that take more than a line.
func TestStory(t *testing.T) {
	var out bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&out)
	defer klog.SetOutput(&bytes.Buffer{})
	now := time.Now()
	story := &kctforward.Trace{
		Message: &kctport.Message{ID: "abc123", Deadline: now.Add(time.Second)}, Fleet: &kctport.Fleet{LastContact: now}, Start: now,
		End: now.Add(time.Millisecond), Reply: &kctport.Reply{Status: 502, Reason: "attempt failed"}, Attempts: 1,
		Events: []kctforward.Event{{At: now, Kind: "attempt failed", Service: "s", Endpoint: "i-1", Detail: errors.Join(kctport.ErrReset, kctport.ErrUnknown).Error()}},
	}
	kctlog.DecisionLogger{}.Answered(story)
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines, want 2:\n%s", len(lines), out.String())
	}
	for _, l := range lines {
		if !strings.Contains(l, "abc123") {
			t.Errorf("no identifier in %s", l)
		}
	}
	for _, part := range []string{"i-1", "502", "attempt failed", "contact"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q isn't in the log", part)
		}
	}
}
