package kctstutter

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// tracedConns is the number of connections that a trace looks at, tracedNotes the number of notes on each; the latest are kept.
	tracedConns = 256
	tracedNotes = 24
)

// Stutter is a faulty HTTP/1.1 server: it breaks answers off, and sends second copies of them on the same connection.
type Stutter struct {
	answer func(r *http.Request) []byte
	plan   func(r *http.Request, number int) StutterPlan

	listener net.Listener
	// opened counts the connections accepted.
	opened atomic.Int64
	conns  sync.WaitGroup
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
	// traced holds the latest connections, closed ones included.
	traced []*stutterConn
}

// StutterPlan says how the answer to one request is written; the zero value writes it once.
type StutterPlan struct {
	// Broken makes the answer break off after First bytes.
	Broken bool
	First  int
	// Copy makes a second copy follow, of which all bytes from CopyEnd on are left out unless CopyEnd is 0.
	Copy    bool
	CopyEnd int
	// Edit changes the copy, nil for one that is the same.
	Edit func(answer string) string
	// InNext puts the copy behind that many bytes of the connection's next answer, in the same write, 0 before its first byte; otherwise the copy is written
	// after Delay, or together with the answer when Delay is 0.
	InNext *int
	Delay  time.Duration
	// Early writes the answer before the body of the request is read.
	Early bool
	// Pieces are the lengths of pieces in which the beginning of the answer is written, with Pause after each.
	Pieces []int
	Pause  time.Duration
	// Close closes the connection after these bytes.
	Close bool
}

// NewStutter returns a server that writes the bytes of answer by the plan for each request, and closes the connection in place of an answer of nil; number counts
// the requests of its connection from 0.
func NewStutter(answer func(r *http.Request) []byte, plan func(r *http.Request, number int) StutterPlan) *Stutter {
	return &Stutter{answer: answer, plan: plan, open: map[net.Conn]struct{}{}}
}

// Start listens and serves until Stop or the end of the context; it returns the listening address.
func (s *Stutter) Start(ctx context.Context) (netip.AddrPort, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	at, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	s.listener = l
	context.AfterFunc(ctx, s.Stop)
	s.conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.conns.Go(func() { s.serve(c) })
		}
	})
	return at, nil
}

// Stop closes the listener and all connections, and waits for them.
func (s *Stutter) Stop() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.conns.Wait()
}

// Opened returns the number of connections accepted.
func (s *Stutter) Opened() int { return int(s.opened.Load()) }

// Trace returns what passed on the latest connections on which a text was written: a line for each request read and for each write.
func (s *Stutter) Trace(text string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for _, c := range s.traced {
		lines = append(lines, c.trace(text)...)
	}
	return lines
}

// stutterConn is a connection of a Stutter; writes of late copies come from other goroutines.
type stutterConn struct {
	net.Conn
	mu sync.Mutex
	// notes are the latest requests and writes.
	notes []stutterNote
	// held is the copy that goes into the next answer behind that many of its bytes.
	held   []byte
	behind int
}

func (s *Stutter) serve(raw net.Conn) {
	defer raw.Close()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.open[raw] = struct{}{}
	c := &stutterConn{Conn: raw}
	s.traced = append(s.traced, c)
	s.traced = s.traced[max(0, len(s.traced)-tracedConns):]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.open, raw)
		s.mu.Unlock()
	}()
	requests := bufio.NewReader(raw)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			if tcp, ok := raw.(*net.TCPConn); ok {
				// Nothing is left to be sent; a reset keeps the port from being taken for a minute.
				_ = tcp.SetLinger(0)
			}
			return
		}
		c.noteRequest(r)
		answer := s.answer(r)
		p := s.plan(r, n)
		if !p.Early && !discard(r.Body) {
			return
		}
		if answer == nil || !c.write(answer, p, &s.conns) || r.Close {
			return
		}
		if p.Early && !discard(r.Body) {
			return
		}
	}
}

// discard reads a body to its end, and reports whether that came.
func discard(body io.Reader) bool {
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// stutterNote is a request that was read, or bytes that were written.
type stutterNote struct {
	at      time.Time
	request string
	bytes   []byte
}

// note records a request or a write; the caller holds the lock.
func (c *stutterConn) note(request string, b []byte) {
	c.notes = append(c.notes, stutterNote{time.Now(), request, b})
	if len(c.notes) > 2*tracedNotes {
		c.notes = append([]stutterNote{}, c.notes[tracedNotes:]...)
	}
}

func (c *stutterConn) noteRequest(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(r.Method+" "+r.URL.Path, nil)
}

// send writes bytes and records them; the caller holds the lock.
func (c *stutterConn) send(b []byte) error {
	c.note("", b)
	_, err := c.Write(b)
	return err
}

// trace returns the notes, nil when their bytes don't hold the text.
func (c *stutterConn) trace(text string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var written []byte
	var lines []string
	for _, n := range c.notes {
		written = append(written, n.bytes...)
		line := fmt.Sprintf("%s %s to %s: ", n.at.Format("15:04:05.000000"), c.LocalAddr(), c.RemoteAddr())
		if n.request != "" {
			line += "request " + n.request
		} else {
			line += fmt.Sprintf("wrote %q", n.bytes)
		}
		lines = append(lines, line)
	}
	if !bytes.Contains(written, []byte(text)) {
		return nil
	}
	return lines
}

// write writes an answer by its plan, and reports whether the connection stays open.
func (c *stutterConn) write(answer []byte, p StutterPlan, late *sync.WaitGroup) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := answer
	if p.Broken {
		first = first[:min(p.First, len(first))]
	}
	if c.held != nil {
		behind := min(c.behind, len(first))
		first = append(append(append([]byte{}, first[:behind]...), c.held...), first[behind:]...)
		c.held = nil
	}
	var again []byte
	if p.Copy {
		again = answer
		if p.Edit != nil {
			again = []byte(p.Edit(string(answer)))
		}
		if p.CopyEnd > 0 {
			again = again[:min(p.CopyEnd, len(again))]
		}
	}
	switch {
	case p.InNext != nil:
		c.held, c.behind = again, *p.InNext
	case p.Delay == 0:
		first = append(append([]byte{}, first...), again...)
	case p.Close:
		if c.send(first) != nil {
			return false
		}
		time.Sleep(p.Delay)
		first = again
	default:
		late.Go(func() {
			time.Sleep(p.Delay)
			c.mu.Lock()
			defer c.mu.Unlock()
			// The client may have closed the connection.
			_ = c.send(again)
		})
	}
	for _, n := range p.Pieces {
		n = min(n, len(first))
		if c.send(first[:n]) != nil {
			return false
		}
		time.Sleep(p.Pause)
		first = first[n:]
	}
	return c.send(first) == nil && !p.Close
}
