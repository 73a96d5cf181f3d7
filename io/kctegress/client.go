package kctegress

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctbody"
)

const (
	// maxBody is the largest accepted body of an answer in bytes; the largest ones today are a few tens of kilobytes.
	maxBody = 16 << 20
	// maxStaleAnswers is the number of answers to other requests that are skipped before the connection is closed.
	maxStaleAnswers = 2
	// deadlineSlack is how long after the deadline an answer is still read, for endpoints that answer at the deadline.
	deadlineSlack = 20 * time.Millisecond
)

// errNotSent means that no byte of the request was sent.
var errNotSent = errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable)

// Client exchanges requests with endpoints; it is safe for concurrent use.
type Client struct {
	timer   kctport.Timer
	dialect kctport.Dialect
	pools   *Pools
	bodies  kctbody.Reader
	// seed is that of the hashes of identifiers.
	seed         maphash.Seed
	onSecondCopy func(endpoint netip.AddrPort)
}

var _ kctport.Exchanger = (*Client)(nil)

// Option configures a Client in New.
type Option func(*Client)

// WithOnSecondCopy calls f when an endpoint has sent bytes beyond its answers for the first time in a while.
func WithOnSecondCopy(f func(endpoint netip.AddrPort)) Option {
	return func(c *Client) { c.onSecondCopy = f }
}

// New returns a client without connections.
func New(timer kctport.Timer, dialect kctport.Dialect, opts ...Option) *Client {
	c := &Client{timer: timer, dialect: dialect, seed: maphash.MakeSeed(), onSecondCopy: func(netip.AddrPort) {}}
	c.pools = newPools(c)
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run closes all connections when the context ends; the channel closes after the last one.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		c.pools.close()
	}()
	return done
}

// Counts holds numbers of connections and answers since the start.
type Counts struct {
	// Opened counts connections, Strays those that were closed since their endpoint sent bytes on them while they were idle.
	Opened, Strays uint64
	// Skipped counts second answers to earlier requests that came before the answer to a request.
	Skipped uint64
}

// Counts returns the numbers of connections and answers since the start.
func (c *Client) Counts() Counts {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	return c.pools.counts
}

// Open begins the attempts at a message; when the context is cancelled, their connections are closed.
func (c *Client) Open(ctx context.Context, m *kctport.Message) kctport.Exchange {
	x := &exchange{client: c, ctx: ctx, message: m}
	context.AfterFunc(ctx, x.cutOff)
	return x
}

var _ kctport.Prober = (*Client)(nil)

// Probe opens a connection and closes it again.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) kctport.Liveness {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	switch {
	case err == nil:
		conn.Close()
		return kctport.LivenessUp
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return kctport.LivenessDown
	}
	return kctport.LivenessUnknown
}

// isMalformed reports whether an error of reading an answer is of its bytes, and not of the connection.
func isMalformed(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, kctport.ErrMismatch)
}

// classifyError wraps a connection error in the error of kctport.Exchange; when no byte was sent, the request has not run.
func classifyError(ctx context.Context, sent bool, err error) error {
	var netErr net.Error
	switch {
	case !sent:
		return eris.Wrapf(errNotSent, "write: %s", kctbody.ErrorText(err))
	case errors.Is(err, kctport.ErrMismatch):
		return err
	case ctx.Err() == context.Canceled:
		return eris.Wrapf(context.Canceled, "cut off: %s", kctbody.ErrorText(err))
	case errors.As(err, &netErr) && netErr.Timeout():
		return eris.Wrapf(kctport.ErrTimeout, "no answer: %s", kctbody.ErrorText(err))
	}
	return eris.Wrapf(kctport.ErrReset, "connection failed: %s", kctbody.ErrorText(err))
}
