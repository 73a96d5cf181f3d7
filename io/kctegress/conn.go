package kctegress

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// keepAliveMargin is subtracted from an endpoint's stated idle timeout, since a request takes time to arrive.
	keepAliveMargin = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when its endpoint states no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// readBuffer is the size of a read buffer in bytes; it fits the headers of an answer and a small body.
	readBuffer = 2 << 10
)

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// answers counts the answers read; the first one can't be stale.
	answers int
	// idleSince is when the connection was last put back; it may be reused until idleTimeout later.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idleTimeout: defaultIdleTimeout}
}

// reusable reports whether the connection may carry another request.
func (c *conn) reusable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle < c.idleTimeout && idle < maxIdle && c.reader.Buffered() == 0 && c.nothingReceived()
}

// nothingReceived reports whether the connection was neither sent data nor closed by the endpoint while it was idle.
func (c *conn) nothingReceived() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothingReceived := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingReceived = err == syscall.EAGAIN
	})
	return err == nil && nothingReceived
}

// recordIdleTimeout records the endpoint's idle timeout from an answer's Keep-Alive header, if it has one.
func (c *conn) recordIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}
