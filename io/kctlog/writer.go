package kctlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// queueLines bounds the lines queued for a slow reader of standard output, about 300 KB and at most 4 MiB.
	queueLines = 1024
	// maxLine is the length in bytes at which a line is cut: it may quote what others sent.
	maxLine = 4 << 10
	cutMark = " ...\n"
)

// Writer is an io.Writer that queues lines for a writing goroutine and drops them while the queue is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a writer to out; nothing is written before Run.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a copy of one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line[:min(len(line), maxLine)]...)
	if len(line) > maxLine {
		queued = append(queued[:maxLine-len(cutMark)], cutMark...)
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Run writes lines until the context ends and then those still queued; the channel closes after the last one.
func (w *Writer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		reported := uint64(0)
		for {
			select {
			case line := <-w.lines:
				w.emit(line)
			case <-ctx.Done():
				w.drain()
				return
			}
			if n := w.dropped.Load(); n != reported && len(w.lines) < queueLines/2 {
				w.emit(fmt.Appendf(nil, "log lines dropped: %d\n", n-reported))
				reported = n
			}
		}
	}()
	return done
}

// emit writes a line to the output; it ignores an error, which could be reported nowhere else.
func (w *Writer) emit(line []byte) {
	_, _ = w.out.Write(line)
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			return
		}
	}
}
