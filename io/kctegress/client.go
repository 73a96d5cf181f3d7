package kctegress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
}

var _ kctport.Exchanger = (*Client)(nil)

// New returns a client without connections.
func New(timer kctport.Timer, dialect kctport.Dialect) *Client {
	return &Client{timer: timer, dialect: dialect, pools: newPools(timer)}
}

// Run closes idle connections until the context ends; the channel closes after the last one.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pools.sweep(ctx)
	}()
	return done
}

// Opened returns the number of connections opened since the start.
func (c *Client) Opened() uint64 {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	return c.pools.opened
}

// Exchange sends one attempt and reads its complete answer; errors are those of kctport.Exchanger.
func (c *Client) Exchange(ctx context.Context, endpoint *kctport.EndpointRecord, m *kctport.Message, o kctport.ExchangeOptions) (kctport.Response, error) {
	k, err := c.pools.get(ctx, endpoint.Address, o.Connections, o.NonIdempotent)
	if err != nil {
		return kctport.Response{}, err
	}
	remaining := o.Deadline.Sub(c.timer.Now())
	if ctx.Err() != nil || remaining <= 0 {
		c.pools.put(endpoint.Address, k)
		return kctport.Response{}, eris.Wrap(errNotSent, "no time left")
	}
	if o.Usable != nil && !o.Usable() {
		c.pools.put(endpoint.Address, k)
		return kctport.Response{}, eris.Wrapf(errNotSent, "endpoint %s left while the attempt waited", endpoint.ID)
	}
	if o.BeforeSend != nil {
		o.BeforeSend()
	}
	x := &exchange{client: c, conn: k, message: m, nonIdempotent: o.NonIdempotent}
	response, keep, err := x.run(ctx, endpoint, o.Deadline, remaining)
	if keep {
		c.pools.put(endpoint.Address, k)
	} else {
		c.pools.discard(endpoint.Address, k)
	}
	return response, err
}

// exchange is one attempt on one connection.
type exchange struct {
	client        *Client
	conn          *conn
	message       *kctport.Message
	nonIdempotent bool
}

// run writes the request and reads its answer; the bool reports whether the connection can be reused.
func (x *exchange) run(ctx context.Context, endpoint *kctport.EndpointRecord, deadline time.Time, remaining time.Duration) (kctport.Response, bool, error) {
	if err := x.conn.SetDeadline(deadline.Add(deadlineSlack)); err != nil {
		return kctport.Response{}, false, eris.Wrapf(errNotSent, "set the deadline: %v", err)
	}
	// Closing the connection on cancellation makes pending reads and writes fail at once.
	release := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			x.conn.Close()
		}
	})
	defer release()
	request := x.encode(endpoint, remaining)
	if len(x.message.Body) <= inlineBody {
		if n, err := x.conn.Write(request); err != nil {
			return kctport.Response{}, false, x.classifyError(ctx, n > 0, err)
		}
		return x.readAnswer(ctx)
	}
	return x.writeAndRead(ctx, request)
}

// inlineBody is the largest body in bytes that is written before the answer is read; it fits a socket's buffer, so that writing doesn't block.
const inlineBody = 8 << 10

// writeAndRead writes a large request while it reads the answer, since an endpoint may answer before it has read the whole body.
func (x *exchange) writeAndRead(ctx context.Context, request []byte) (kctport.Response, bool, error) {
	written := make(chan error, 1)
	go func() {
		_, err := x.conn.Write(request)
		written <- err
	}()
	response, keep, err := x.readAnswer(ctx)
	select {
	case writeErr := <-written:
		keep = keep && writeErr == nil
	default:
		// The endpoint would parse the rest of the body as the next request.
		keep = false
		x.conn.Close()
		<-written
	}
	return response, keep, err
}

// encode returns the request with the caller's method, target, host and body, and the headers of the attempt.
func (x *exchange) encode(endpoint *kctport.EndpointRecord, remaining time.Duration) []byte {
	m := x.message
	header := http.Header(x.client.dialect.Forward(m.Header, m.ID, remaining, endpoint.ID))
	delete(header, "Host")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	// Writing to a bytes.Buffer can't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// readAnswer skips interim and stale answers and returns the answer to the request; the bool reports whether the connection can be reused.
func (x *exchange) readAnswer(ctx context.Context) (kctport.Response, bool, error) {
	request := &http.Request{Method: x.message.Method}
	for range maxStaleAnswers + 1 {
		raw, err := x.conn.readHead(request)
		if err != nil {
			return kctport.Response{}, false, x.classifyError(ctx, true, err)
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		body, err := x.client.bodies.Read(raw.Body, maxBody)
		if err != nil {
			// Closing the body would read on to its end.
			return kctport.Response{}, false, x.classifyError(ctx, true, err)
		}
		raw.Body.Close()
		response, id := x.client.dialect.Response(raw.StatusCode, kctport.Header(raw.Header))
		x.conn.recordIdleTimeout(raw.Header)
		x.conn.answers++
		if id != x.message.ID && !x.acceptWithoutID(id, &response) {
			// This is a second answer to an earlier request; the answer to this request follows.
			if raw.Close {
				break
			}
			continue
		}
		response.Body = body
		return response, !raw.Close && x.conn.reader.Buffered() == 0, nil
	}
	return kctport.Response{}, false, eris.Wrap(kctport.ErrMismatch, "the answers belong to other requests")
}

// acceptWithoutID reports whether an answer without an identifier is a refusal that can be accepted as the answer to this request: it is the
// connection's first answer, which can't be stale, or the request is idempotent, which may be repeated even if it ran.
func (x *exchange) acceptWithoutID(id string, r *kctport.Response) bool {
	return id == "" && r.NotRun && (x.conn.answers == 1 || !x.nonIdempotent)
}

// classifyError wraps a connection error in the error of kctport.Exchanger; when no byte was sent, the request has not run.
func (x *exchange) classifyError(ctx context.Context, sent bool, err error) error {
	var netErr net.Error
	switch {
	case !sent:
		return eris.Wrapf(errNotSent, "write: %v", err)
	case errors.Is(err, kctport.ErrMismatch):
		return err
	case ctx.Err() == context.Canceled:
		return eris.Wrapf(context.Canceled, "cut off: %v", err)
	case errors.As(err, &netErr) && netErr.Timeout():
		return eris.Wrapf(kctport.ErrTimeout, "no answer: %v", err)
	}
	return eris.Wrapf(kctport.ErrReset, "connection failed: %v", err)
}
