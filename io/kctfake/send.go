package kctfake

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"kingcupturn/io/kctwire"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// keepConn puts the connection into the context of its requests.
func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetConn resets the connection of a request and ends its handler.
func resetConn(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// crossed is a reply kept to be sent to another request.
type crossed struct {
	status int
	body   []byte
}

// send writes a reply, damaged as the switches ask.
func (e *Endpoint) send(w http.ResponseWriter, r *http.Request, status int, reply any) {
	f := e.Faults()
	if !pause(r.Context(), time.Duration(f.ReplyDelay)) {
		return
	}
	if e.chance(f.ResetAfter) {
		resetConn(r.Context())
	}
	if p, ok := reply.(*kctwire.PartReply); ok && e.chance(f.Truncated) {
		p.Items = p.Items[:len(p.Items)/2]
	}
	body, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	if e.chance(f.Crossed) {
		status, body = e.other(status, body)
	}
	if e.chance(f.Trailing) {
		body = append(bytes.Clone(body), body...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if e.chance(f.Cut) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	if e.chance(f.Duplicate) {
		duplicate(r.Context(), w, status, body)
	}
}

// other keeps the reply for a later exchange and returns an earlier one; the first reply has none and goes out itself.
func (e *Endpoint) other(status int, body []byte) (int, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	earlier := e.last
	e.last = crossed{status: status, body: body}
	if earlier.body == nil {
		return status, body
	}
	return earlier.status, earlier.body
}

// duplicate sends the reply a second time past the HTTP server, so that it waits on the connection for the next request.
func duplicate(ctx context.Context, w http.ResponseWriter, status int, body []byte) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || http.NewResponseController(w).Flush() != nil {
		return
	}
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, _ = c.Write(append([]byte(head), body...))
}
