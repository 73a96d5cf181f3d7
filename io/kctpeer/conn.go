package kctpeer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"
)

// conn counts the bytes received, by which a session that went silent is told from a slow request.
type conn struct {
	net.Conn
	received atomic.Uint64
	// quiet ends the connection when nothing is received for so long; zero disables it.
	quiet time.Duration
}

func (c *conn) Read(b []byte) (int, error) {
	if c.quiet > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.quiet)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

// muxConfig disables yamux's own timers: sessions end by the rules of this package.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = backlog
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = graceDefault
	c.LogOutput = nil
	c.Logger = MuxLogger{}
	return c
}

// MuxLogger passes yamux's messages to klog; they repeat errors that callers get anyway.
type MuxLogger struct{}

// Print logs at a verbose level.
func (MuxLogger) Print(v ...any) { klog.V(2).InfoS("yamux", "message", fmt.Sprint(v...)) }

// Println logs at a verbose level.
func (MuxLogger) Println(v ...any) { klog.V(2).InfoS("yamux", "message", fmt.Sprint(v...)) }

// Printf logs at a verbose level.
func (MuxLogger) Printf(format string, v ...any) {
	klog.V(2).InfoS("yamux", "message", fmt.Sprintf(format, v...))
}
