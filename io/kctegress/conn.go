package kctegress

import (
	"bufio"
	"errors"
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
	// maxHead is the largest accepted head of an answer in bytes; the users' callers may send 16 KiB.
	maxHead = 64 << 10
)

// errHeadTooLong ends the reading of a head without end.
var errHeadTooLong = errors.New("head of more than 64 KiB")

// conn is a connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headLeft is the number of bytes that may still be read while readingHead is set.
	headLeft    int
	readingHead bool
	// answers counts the answers read; the first one can't be stale.
	answers int
	// idleSince is when the connection was last put back; it may be reused until idleTimeout later.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, idleTimeout: defaultIdleTimeout}
	k.reader = bufio.NewReaderSize(k, readBuffer)
	return k
}

// Read bounds the bytes of a head.
func (c *conn) Read(b []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(b)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// readHead reads the head of an answer.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.readingHead, c.headLeft = true, maxHead
	defer func() { c.readingHead = false }()
	return http.ReadResponse(c.reader, request)
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
