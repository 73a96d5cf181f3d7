package kctlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestLongLine guards against a line that quotes what others sent, which takes much memory in the queue.
func TestLongLine(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for _, n := range []int{1, maxLine - 1, maxLine, maxLine + 1, 1 << 20} {
		line := strings.Repeat("x", n-1) + "\n"
		if written, err := w.Write([]byte(line)); written != n || err != nil {
			t.Errorf("%d of %d bytes written, %v", written, n, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	<-w.Run(ctx)
	lines := strings.SplitAfter(out.String(), "\n")
	for i, want := range []int{1, maxLine - 1, maxLine, maxLine, maxLine} {
		if len(lines[i]) != want || i > 2 && !strings.HasSuffix(lines[i], cutMark) {
			t.Errorf("line %d has %d bytes and ends with %q, want %d", i, len(lines[i]), lines[i][max(0, len(lines[i])-8):], want)
		}
	}
}
