package kctcrowd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reopenDelay is the pause of a client whose connection was closed before it opens the next one.
	reopenDelay = 50 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// wholeInterval makes each client whose number it divides send its request whole.
	wholeInterval = 10
)

// Form writes what client n sends on a connection; whole is set for the few clients that complete their request. The error is that of the connection.
type Form func(c net.Conn, n int, whole bool) error

// Crowd is a number of clients that keep connections to an address open.
type Crowd struct {
	address netip.AddrPort
	size    int
	form    Form
	reads   bool
	opened  atomic.Int64
}

// Option configures a Crowd.
type Option func(*Crowd)

// WithoutReading makes the clients read nothing of what they are sent, so that a form may use its connection alone.
func WithoutReading() Option {
	return func(w *Crowd) { w.reads = false }
}

// New returns a crowd of a number of clients.
func New(address netip.AddrPort, size int, form Form, opts ...Option) *Crowd {
	w := &Crowd{address: address, size: size, form: form, reads: true}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Opened returns the number of connections opened so far.
func (w *Crowd) Opened() int { return int(w.opened.Load()) }

// Run keeps the connections open until the context ends; the channel closes when all are closed.
func (w *Crowd) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range w.size {
		clients.Go(func() {
			for ctx.Err() == nil {
				w.connect(ctx, n)
				time.Sleep(reopenDelay)
			}
		})
	}
	go func() {
		defer close(done)
		clients.Wait()
	}()
	return done
}

// connect opens a connection, sends what the form sends, and keeps it open until the other end closes it.
func (w *Crowd) connect(ctx context.Context, n int) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", w.address.String())
	if err != nil {
		return
	}
	w.opened.Add(1)
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	whole := n%wholeInterval == 0
	if !w.reads {
		if w.form(c, n, whole) == nil {
			<-ctx.Done()
		}
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	// An error ends the reading too.
	_ = w.form(c, n, whole)
	<-closed
}
