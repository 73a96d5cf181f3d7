package kctfeed

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"kingcupturn/io/kctpeer"
)

const (
	// beatInterval is how often a subscriber writes its record.
	beatInterval = 400 * time.Millisecond
	// quietTimeout ends a feed on which three beats were missed; a connection may go silent without an end.
	quietTimeout = 1300 * time.Millisecond
	// writeTimeout bounds a write to a peer that doesn't read.
	writeTimeout = time.Second
	// dialTimeout bounds a new connection; entries are a few milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// maxMessage bounds a message in bytes: a full update with 71,000 endpoints is about 20 MB.
	maxMessage = 64 << 20
)

// muxConfig leaves timeouts to this package: a feed ends when nothing arrives.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.LogOutput = nil
	c.Logger = kctpeer.MuxLogger{}
	return c
}

// stream reads and writes messages with their length in front.
type stream struct {
	net.Conn
	reader *bufio.Reader
}

func newStream(c net.Conn) *stream {
	return &stream{Conn: c, reader: bufio.NewReader(c)}
}

func (s *stream) send(m proto.Message) error {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(s.Conn, m)
	return err
}

func (s *stream) receive(m proto.Message) error {
	if err := s.SetReadDeadline(time.Now().Add(quietTimeout)); err != nil {
		return err
	}
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(s.reader, m)
}
