package kctegress

import (
	"bytes"
	"context"
	"fmt"
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// exchange makes the attempts at one message.
type exchange struct {
	client  *Client
	ctx     context.Context
	message *kctport.Message

	mu sync.Mutex
	// head is the part of the request that all attempts share, nil before the first one.
	head     []byte
	attempts []*attempt
}

var _ kctport.Exchange = (*exchange)(nil)

// Send makes an attempt as kctport.Exchange describes.
func (x *exchange) Send(endpoint *kctport.EndpointRecord, o kctport.ExchangeOptions, done func(kctport.Response, error)) {
	a := &attempt{exchange: x, endpoint: endpoint, options: o, done: done, hash: maphash.String(x.client.seed, x.message.ID)}
	x.mu.Lock()
	x.attempts = append(x.attempts, a)
	x.mu.Unlock()
	x.client.pools.acquire(a)
}

// cutOff ends the attempts without an outcome once the context has ended: those that wait for a connection at once, and those that were sent when the
// caller has left. At the deadline the latter end by the deadline of their connection.
func (x *exchange) cutOff() {
	x.mu.Lock()
	attempts := x.attempts
	x.mu.Unlock()
	for _, a := range attempts {
		if a.ended.Load() {
			continue
		}
		if c := a.conn.Load(); c == nil {
			if x.client.pools.withdraw(a) {
				a.finish(kctport.Response{}, eris.Wrapf(errNotSent, "no free connection to %s", a.endpoint.Address))
			}
		} else if x.ctx.Err() == context.Canceled {
			c.interrupt(a)
		}
	}
}

// sharedHead returns the request line and the headers that do not depend on the attempt.
func (x *exchange) sharedHead() []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.head != nil {
		return x.head
	}
	m := x.message
	header := http.Header(x.client.dialect.Forward(m.Header, m.ID))
	delete(header, "Host")
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	// Writing to a bytes.Buffer can't fail.
	_ = header.Write(&b)
	x.head = b.Bytes()
	return x.head
}

// attemptHead is the usual size in bytes of the headers that depend on the attempt.
const attemptHead = 128

// encodeHead returns the head of a request with the caller's method, target and host, and the headers of the attempt; there is room behind it for more bytes.
func (x *exchange) encodeHead(endpoint *kctport.EndpointRecord, remaining time.Duration, room int) []byte {
	head := x.sharedHead()
	b := make([]byte, 0, len(head)+attemptHead+room)
	b = append(b, head...)
	for _, f := range x.client.dialect.Attempt(remaining, endpoint.ID) {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// attempt is one request to one endpoint.
type attempt struct {
	exchange *exchange
	endpoint *kctport.EndpointRecord
	options  kctport.ExchangeOptions
	done     func(kctport.Response, error)
	// hash is that of the message's identifier; formerID is the identifier of the request before on the connection.
	hash     uint64
	formerID string
	// conn is set once the request is about to be sent.
	conn  atomic.Pointer[conn]
	ended atomic.Bool
}

// finish reports the outcome; only the first call has an effect.
func (a *attempt) finish(r kctport.Response, err error) {
	if !a.ended.Swap(true) {
		a.done(r, err)
	}
}

// inlineBody is the largest body in bytes that is written before the answer is read; it fits a socket's buffer, so that writing doesn't block.
const inlineBody = 8 << 10

// start sends the request on a connection that no other attempt uses.
func (a *attempt) start(c *conn) {
	x := a.exchange
	remaining := a.options.Deadline.Sub(x.client.timer.Now())
	problem := ""
	switch {
	case x.ctx.Err() != nil || remaining <= 0:
		problem = "no time left"
	case a.options.Usable != nil && !a.options.Usable():
		problem = "endpoint " + string(a.endpoint.ID) + " left while the attempt waited"
	}
	if problem != "" {
		x.client.pools.put(c, false)
		a.finish(kctport.Response{}, eris.Wrap(errNotSent, problem))
		return
	}
	if a.options.BeforeSend != nil {
		a.options.BeforeSend()
	}
	body := x.message.Body
	isLarge := len(body) > inlineBody
	room := len(body)
	if isLarge {
		room = 0
	}
	head := x.encodeHead(a.endpoint, remaining, room)
	if !c.begin(a) {
		a.finish(kctport.Response{}, eris.Wrap(errNotSent, "the connection was closed"))
		return
	}
	if isLarge {
		c.writeBeside(head, body)
		return
	}
	if n, err := c.Write(append(head, body...)); err != nil {
		a.finish(kctport.Response{}, classifyError(x.ctx, n > 0, err))
		c.interrupt(a)
	}
	if x.ctx.Err() == context.Canceled {
		// cutOff may have missed the attempt before it began.
		c.interrupt(a)
	}
}
