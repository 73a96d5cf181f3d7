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
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctpeer"
)

const (
	// writeTimeout bounds a write to an entry that has stopped reading.
	writeTimeout = time.Second
	// maxMessage is the largest message in bytes that is received; a full feed update with 71,000 endpoints has about 20 MB.
	maxMessage = 64 << 20
	// maxRequest is the largest message in bytes that an accepted stream receives; entries send small ones to those that they call.
	maxRequest = 8 << 20
)

// Options are the settings of a stream; both ends use the same.
type Options struct {
	// KeepAlive is the interval of yamux keep-alives, 0 for none; without them the stream's users must detect an unresponsive peer.
	KeepAlive time.Duration
	// IdleTimeout bounds the wait of Receive for a message, 0 for no limit.
	IdleTimeout time.Duration
}

// config returns the yamux configuration of a stream.
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

// Stream sends and receives messages; several goroutines may send, only one may receive.
type Stream struct {
	session     *yamux.Session
	conn        net.Conn
	reader      *bufio.Reader
	idleTimeout time.Duration
	// client is the connection of a stream that was accepted, nil for one that this process opened; admitted is set after its first message.
	client   *kctguard.Conn
	admitted bool
	mu       sync.Mutex
}

func newStream(session *yamux.Session, conn net.Conn, o Options) *Stream {
	return &Stream{session: session, conn: conn, reader: bufio.NewReader(conn), idleTimeout: o.IdleTimeout}
}

// Open opens a session and stream on a connection, and closes the connection on failure; an error wraps ErrUnavailable.
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

// Close closes the stream and its session.
func (s *Stream) Close() {
	s.session.Close()
}

// Take takes memory in bytes for what an accepted stream has received, until Give or the end of the stream; the error wraps ErrNotRun.
func (s *Stream) Take(size int) error { return s.client.Take(size) }

// Give gives memory in bytes back.
func (s *Stream) Give(size int) { s.client.Give(size) }

// Send writes a message; it fails when the write takes longer than writeTimeout.
func (s *Stream) Send(m proto.Message) error {
	return s.SendFunc(func() proto.Message { return m })
}

// SendFunc calls build and writes its message under the write lock, so that dependent messages are written in the order in which they are built.
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

// Receive reads the next message; it fails when the message is larger than allowed or does not arrive within IdleTimeout. Streams that were accepted get
// memory for a message as its bytes arrive.
func (s *Stream) Receive(m proto.Message) error {
	if s.idleTimeout > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout)); err != nil {
			return err
		}
	}
	if s.client == nil {
		return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(s.reader, m)
	}
	data, taken, err := s.client.ReadMessage(s.reader, maxRequest)
	defer s.client.Give(taken)
	if err != nil {
		return err
	}
	if !s.admitted {
		s.admitted = true
		if err := s.client.Admit(); err != nil {
			return err
		}
	}
	return proto.Unmarshal(data, m)
}
