package kctfeed

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// Decoder reads a key of the store from its bytes.
type Decoder func(key string, value []byte, revision kctport.StoreRevision, deleted bool) kctport.RegistryChange

// Client subscribes at other entries.
type Client struct {
	timer  kctport.Timer
	decode Decoder
}

var _ kctport.Feed = (*Client)(nil)

// NewClient returns a client that decodes records with the decoder.
func NewClient(timer kctport.Timer, decode Decoder) *Client {
	return &Client{timer: timer, decode: decode}
}

// Follow subscribes at a reader and hands over its updates until the feed breaks or the context ends.
func (c *Client) Follow(ctx context.Context, reader kctport.EntryRecord, self func() kctport.EntryRecord, take func(kctport.FeedUpdate)) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", reader.Peer.String())
	if err != nil {
		return eris.Wrapf(kctport.ErrUnavailable, "connect to %s: %v", reader.ID, err)
	}
	s, err := kctmux.Open(conn, streamOptions)
	if err != nil {
		return err
	}
	defer s.Close()
	release := context.AfterFunc(ctx, s.Close)
	defer release()
	sent := c.timer.Now()
	beats, stop := context.WithCancel(ctx)
	beating := make(chan struct{})
	go func() {
		defer close(beating)
		c.beat(beats, s, self)
	}()
	err = c.receive(s, sent, take)
	stop()
	s.Close()
	<-beating
	return eris.Wrapf(kctport.ErrUnavailable, "feed of %s: %v", reader.ID, err)
}

// beat writes this entry's record until the stream fails or the context ends; the reading side notices the failure.
func (c *Client) beat(ctx context.Context, s *kctmux.Stream, self func() kctport.EntryRecord) {
	ticks := c.timer.Subscribe(ctx, beatInterval)
	for {
		if err := s.Send(&kctproto.FeedHello{Self: encodeEntry(self())}); err != nil {
			s.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// receive hands over updates and acknowledges each. The other side sends the next one only then, so that an update was made after the
// last acknowledgement, which bounds its age however long it was on its way.
func (c *Client) receive(s *kctmux.Stream, acknowledged time.Time, take func(kctport.FeedUpdate)) error {
	for {
		var m kctproto.FeedUpdate
		if err := s.Receive(&m); err != nil {
			return err
		}
		f, err := decodeUpdate(&m, c.decode)
		if err != nil {
			return err
		}
		f.StoreAge += c.timer.Now().Sub(acknowledged)
		take(f)
		acknowledged = c.timer.Now()
		if err := s.Send(acknowledgement); err != nil {
			return err
		}
	}
}

// acknowledgement is a message without a record.
var acknowledgement = &kctproto.FeedHello{}
