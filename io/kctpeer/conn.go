package kctpeer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"
)

// conn counts the bytes received, which distinguishes an unresponsive session from a slow request.
type conn struct {
	net.Conn
	received atomic.Uint64
	// idleTimeout ends the connection when nothing is received for this duration; 0 disables it.
	idleTimeout time.Duration
}

func (c *conn) Read(b []byte) (int, error) {
	if c.idleTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

// muxConfig returns a yamux configuration without keep-alives and open timeouts, since this package decides when a session ends.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = backlog
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = defaultGrace
	c.LogOutput = nil
	c.Logger = MuxLogger{}
	return c
}

// MuxLogger passes yamux's messages to klog at verbosity 2, since yamux also returns these errors.
type MuxLogger struct{}

// Print logs its operands at verbosity 2.
func (MuxLogger) Print(v ...any) { klog.V(2).InfoS("yamux", "message", fmt.Sprint(v...)) }

// Println logs its operands at verbosity 2.
func (MuxLogger) Println(v ...any) { klog.V(2).InfoS("yamux", "message", fmt.Sprint(v...)) }

// Printf logs a formatted message at verbosity 2.
func (MuxLogger) Printf(format string, v ...any) {
	klog.V(2).InfoS("yamux", "message", fmt.Sprintf(format, v...))
}
