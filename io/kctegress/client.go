package kctegress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// maxBody bounds an endpoint's answer in bytes; the largest ones of today are a few tens of kilobytes.
	maxBody = 16 << 20
	// maxStale is how many answers to other requests are skipped before the connection is given up.
	maxStale = 2
	// deadlineSlack lets an endpoint's own answer at the deadline arrive.
	deadlineSlack = 20 * time.Millisecond
)

// errNotSent means that no byte of the request has left.
var errNotSent = errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable)

// Client exchanges requests with endpoints; it is safe for concurrent use.
type Client struct {
	timer   kctport.Timer
	dialect kctport.Dialect
	pools   *Pools
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

// Exchange sends one attempt and reads its complete answer.
func (c *Client) Exchange(ctx context.Context, server *kctport.EndpointRecord, m *kctport.Message, o kctport.ExchangeOptions) (kctport.Response, error) {
	k, err := c.pools.take(ctx, server.Address, o.Connections, o.NonIdempotent)
	if err != nil {
		return kctport.Response{}, err
	}
	left := o.Deadline.Sub(c.timer.Now())
	if ctx.Err() != nil || left <= 0 {
		c.pools.put(server.Address, k)
		return kctport.Response{}, eris.Wrap(errNotSent, "no time left")
	}
	if o.BeforeSend != nil {
		o.BeforeSend()
	}
	x := &exchange{client: c, conn: k, message: m, once: o.NonIdempotent}
	response, keep, err := x.run(ctx, server, o.Deadline, left)
	if keep {
		c.pools.put(server.Address, k)
	} else {
		c.pools.drop(server.Address, k)
	}
	return response, err
}

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	message *kctport.Message
	once    bool
}

// run writes the request and reads the answer that belongs to it; keep reports whether the connection can be used again.
func (x *exchange) run(ctx context.Context, server *kctport.EndpointRecord, deadline time.Time, left time.Duration) (kctport.Response, bool, error) {
	if err := x.conn.SetDeadline(deadline.Add(deadlineSlack)); err != nil {
		return kctport.Response{}, false, eris.Wrapf(errNotSent, "set the deadline: %v", err)
	}
	// A connection that is cut off fails its reads and writes at once.
	release := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			x.conn.Close()
		}
	})
	defer release()
	request := x.encode(server, left)
	if len(x.message.Body) <= inlineBody {
		if n, err := x.conn.Write(request); err != nil {
			return kctport.Response{}, false, x.broken(ctx, n > 0, err)
		}
		return x.read(ctx)
	}
	return x.duplex(ctx, request)
}

// inlineBody is the largest body in bytes that fits a socket's buffer, so that writing doesn't wait for the endpoint.
const inlineBody = 8 << 10

// duplex writes a long request while the answer is awaited, since an endpoint may answer before it has read all.
func (x *exchange) duplex(ctx context.Context, request []byte) (kctport.Response, bool, error) {
	writing := make(chan error, 1)
	go func() {
		_, err := x.conn.Write(request)
		writing <- err
	}()
	response, keep, err := x.read(ctx)
	select {
	case werr := <-writing:
		keep = keep && werr == nil
	default:
		// The rest of the body would be taken for the next request.
		keep = false
		x.conn.Close()
		<-writing
	}
	return response, keep, err
}

// encode writes the request line, headers and body as the caller sent them.
func (x *exchange) encode(server *kctport.EndpointRecord, left time.Duration) []byte {
	m := x.message
	header := http.Header(x.client.dialect.Forward(m.Header, m.ID, left, server.ID))
	delete(header, "Host")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	// Writing to a buffer doesn't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// read reads answers until the one that belongs to the request.
func (x *exchange) read(ctx context.Context) (kctport.Response, bool, error) {
	request := &http.Request{Method: x.message.Method}
	for range maxStale + 1 {
		raw, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return kctport.Response{}, false, x.broken(ctx, true, err)
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(raw.Body, maxBody+1))
		raw.Body.Close()
		if err != nil {
			return kctport.Response{}, false, x.broken(ctx, true, err)
		}
		response, id := x.client.dialect.Response(raw.StatusCode, kctport.Header(raw.Header))
		x.conn.learn(raw.Header)
		x.conn.used++
		if id != x.message.ID && !x.anonymous(id, &response) {
			// A second answer to an earlier request; the one to this request follows.
			if raw.Close {
				break
			}
			continue
		}
		if len(body) > maxBody {
			return kctport.Response{}, false, eris.Wrapf(kctport.ErrMismatch, "answer of more than %d bytes", maxBody)
		}
		response.Body = body
		return response, !raw.Close && x.conn.reader.Buffered() == 0, nil
	}
	return kctport.Response{}, false, eris.Wrap(kctport.ErrMismatch, "the answers belong to other requests")
}

// anonymous accepts a refusal without an identifier when it can't be left over from an earlier request.
func (x *exchange) anonymous(id string, r *kctport.Response) bool {
	return id == "" && r.NotRun && (x.conn.used == 1 || !x.once)
}

// broken classifies a connection that failed: without a byte of the request on its way, nothing can have run.
func (x *exchange) broken(ctx context.Context, sent bool, err error) error {
	var timeout net.Error
	switch {
	case !sent:
		return eris.Wrapf(errNotSent, "write: %v", err)
	case ctx.Err() == context.Canceled:
		return eris.Wrapf(context.Canceled, "cut off: %v", err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return eris.Wrapf(kctport.ErrTimeout, "no answer: %v", err)
	}
	return eris.Wrapf(kctport.ErrReset, "connection failed: %v", err)
}
