package kctfake

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
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
	// Close closes the connection after these bytes.
	Close bool
}

// NewStutter returns a server that writes the bytes of answer by the plan for each request; number counts the requests of its connection from 0.
func NewStutter(answer func(r *http.Request) []byte, plan func(r *http.Request, number int) StutterPlan) *Stutter {
	return &Stutter{answer: answer, plan: plan, open: map[net.Conn]struct{}{}}
}

// Start listens and serves until Stop or the end of the context; it returns the listening address.
func (s *Stutter) Start(ctx context.Context) (netip.AddrPort, error) {
	l, at, err := listen(ctx, loopback)
	if err != nil {
		return netip.AddrPort{}, err
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

// stutterConn is a connection of a Stutter; writes of late copies come from other goroutines.
type stutterConn struct {
	net.Conn
	mu sync.Mutex
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
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.open, raw)
		s.mu.Unlock()
	}()
	c := &stutterConn{Conn: raw}
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
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := s.answer(r)
		if !c.write(answer, s.plan(r, n), &s.conns) || r.Close {
			return
		}
	}
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
		if _, err := c.Write(first); err != nil {
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
			_, _ = c.Conn.Write(again)
		})
	}
	_, err := c.Write(first)
	return err == nil && !p.Close
}
