package kctbackend

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"kingcupturn/io/kctanswer"
)

// errWritesStopped is the error of a write after stopWrites.
var errWritesStopped = errors.New("connection sealed")

// conn is a connection that counts the bytes written, since net/http does not report whether a failed request left the process.
type conn struct {
	net.Conn
	openedAt time.Time
	onClose  func(*conn)

	mu            sync.Mutex
	written       int64
	writesStopped bool
	// checking counts the replies being checked; checked is closed after the last check and is nil when there is none.
	checking int
	checked  chan struct{}
	// requests counts the requests that use the connection: two while the reply of the first is still being checked.
	requests int
	// first holds the first bytes received since the last request began.
	first []byte
}

// maxExcerpt is the largest part of a reply in bytes that an error quotes.
const maxExcerpt = 160

// Read reads from the connection and records the beginning of a reply.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = append(c.first, b[:min(n, maxExcerpt-len(c.first))]...)
	return n, err
}

// received describes the connection and the first bytes received since the last request began, none when they had come before it.
func (c *conn) received() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("reply on connection %s to %s begins %q", c.LocalAddr(), c.RemoteAddr(), c.first)
}

// checkStatusLine returns an error unless the bytes received since the last request began start with the status line of an answer.
func (c *conn) checkStatusLine() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return kctanswer.CheckStatusLine(c.first)
}

// Write waits for the check of a reply and counts the bytes before it sends them, so that the count is never too low.
func (c *conn) Write(b []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.writesStopped {
			c.mu.Unlock()
			return 0, errWritesStopped
		}
		checked := c.checked
		if checked == nil {
			c.written += int64(len(b))
			c.mu.Unlock()
			return c.Conn.Write(b)
		}
		c.mu.Unlock()
		<-checked
	}
}

// Close closes the connection and calls onClose.
func (c *conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// beginRequest counts a request that uses the connection and returns the number of bytes written before it.
func (c *conn) beginRequest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.first = c.first[:0]
	return c.written
}

// beginCheck blocks the writes of the next request until endRequest, so that it cannot use a connection whose last reply fails
// the check. It reports whether more than before bytes were written: if not, the reply is left over from an earlier request.
func (c *conn) beginCheck(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checking == 0 {
		c.checked = make(chan struct{})
	}
	c.checking++
	return c.written > before
}

// endRequest ends the check of a reply and the request's use of the connection.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.checking--
	if c.checking == 0 {
		close(c.checked)
		c.checked = nil
	}
}

// discard closes the connection and fails all further writes.
func (c *conn) discard() {
	c.stopWrites(0)
	_ = c.Close()
}

// stopWrites fails all further writes and reports whether more than before bytes were written.
func (c *conn) stopWrites(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written > before
}

// idleAndOpenedBefore reports whether no request uses the connection and it was opened before t.
func (c *conn) idleAndOpenedBefore(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests == 0 && c.openedAt.Before(t)
}
