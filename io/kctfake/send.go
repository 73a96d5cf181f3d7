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

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetConn resets the connection of a request and aborts its handler by a panic.
func resetConn(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// keptReply is a reply that is sent to a later request.
type keptReply struct {
	status int
	body   []byte
}

// writeReply writes a reply and injects the faults that damage or delay replies.
func (e *Endpoint) writeReply(w http.ResponseWriter, r *http.Request, status int, reply any) {
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
		status, body = e.swapReply(status, body)
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

// swapReply keeps the reply for a later request and returns the reply kept before, or the reply itself if there is none.
func (e *Endpoint) swapReply(status int, body []byte) (int, []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	earlier := e.lastReply
	e.lastReply = keptReply{status: status, body: body}
	if earlier.body == nil {
		return status, body
	}
	return earlier.status, earlier.body
}

// duplicate writes the reply again to the connection, bypassing the HTTP server, so that the next request on the connection reads it.
func duplicate(ctx context.Context, w http.ResponseWriter, status int, body []byte) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || http.NewResponseController(w).Flush() != nil {
		return
	}
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, _ = c.Write(append([]byte(head), body...))
}
