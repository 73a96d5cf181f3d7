package kctfake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection that can be blackholed; its first read is delayed by connectDelay, the cost of a new connection.
type conn struct {
	net.Conn
	blackholed   atomic.Bool
	connectDelay time.Duration
	firstRead    sync.Once
	onClose      func(*conn)
}

// Read discards what arrives on a blackholed connection until the peer closes it.
func (c *conn) Read(b []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.connectDelay) })
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write discards the bytes of a blackholed connection and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close calls onClose and closes the connection.
func (c *conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	abort(c.Conn)
	_ = c.Close()
}
