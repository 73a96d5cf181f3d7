package kctmux

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	kctport "kingcupturn"
	"kingcupturn/io/kctpeer"
)

const (
	// writeTimeout bounds a write to an entry that doesn't read.
	writeTimeout = time.Second
	// maxMessage bounds a message in bytes: a full feed update with 71,000 endpoints is about 20 MB.
	maxMessage = 64 << 20
)

// Options are the settings of a stream; both ends have the same.
type Options struct {
	// KeepAlive is how often an open session is probed, 0 for never; without it the parts that use the stream must notice silence.
	KeepAlive time.Duration
	// IdleTimeout ends a stream on which nothing arrives for so long, 0 for never.
	IdleTimeout time.Duration
}

func (o Options) config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = o.KeepAlive > 0
	if c.EnableKeepAlive {
		c.KeepAliveInterval = o.KeepAlive
	}
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.LogOutput = nil
	c.Logger = kctpeer.MuxLogger{}
	return c
}

// Stream reads and writes messages; several goroutines may write, one reads.
type Stream struct {
	session *yamux.Session
	conn    net.Conn
	reader  *bufio.Reader
	quiet   time.Duration
	mu      sync.Mutex
}

func newStream(session *yamux.Session, conn net.Conn, o Options) *Stream {
	return &Stream{session: session, conn: conn, reader: bufio.NewReader(conn), quiet: o.IdleTimeout}
}

// Open opens the session and stream of a connection, which it closes when that fails; an error wraps ErrUnavailable.
func Open(conn net.Conn, o Options) (*Stream, error) {
	session, err := yamux.Client(conn, o.config())
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(kctport.ErrUnavailable, "session with %s: %v", conn.RemoteAddr(), err)
	}
	opened, err := session.Open()
	if err != nil {
		session.Close()
		return nil, eris.Wrapf(kctport.ErrUnavailable, "stream to %s: %v", conn.RemoteAddr(), err)
	}
	return newStream(session, opened, o), nil
}

// Close ends the stream and its session.
func (s *Stream) Close() {
	s.session.Close()
}

// Send writes a message.
func (s *Stream) Send(m proto.Message) error {
	return s.SendFunc(func() proto.Message { return m })
}

// SendFunc builds a message while nothing else can be written, so that messages that build on one another keep their order.
func (s *Stream) SendFunc(build func() proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := build()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(s.conn, m)
	return err
}

// Receive reads the next message.
func (s *Stream) Receive(m proto.Message) error {
	if s.quiet > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.quiet)); err != nil {
			return err
		}
	}
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(s.reader, m)
}
