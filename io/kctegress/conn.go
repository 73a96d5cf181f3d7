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
	// keepAliveMargin is taken off an endpoint's stated idle time for the way of a request.
	keepAliveMargin = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose endpoint states no idle time.
	defaultIdle = 4 * time.Second
	// readBuffer holds the header of an answer and a small body, in bytes.
	readBuffer = 2 << 10
)

// conn is one connection to an endpoint; one request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used counts answers; before the first one nothing stale can be on the connection.
	used int
	// idleSince and keep say until when it may be used again.
	idleSince time.Time
	keep      time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), keep: defaultIdle}
}

// reusable reports whether the connection may carry another request.
func (c *conn) reusable(now time.Time, within time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle < c.keep && idle < within && c.reader.Buffered() == 0 && c.quiet()
}

// quiet reports whether nothing was received while the connection was idle: neither its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// learn reads how long the endpoint keeps idle connections.
func (c *conn) learn(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.keep = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}
