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

// Decoder decodes a store key and its value at a revision, or its deletion, into a registry change.
type Decoder func(key string, value []byte, revision kctport.StoreRevision, deleted bool) kctport.RegistryChange

// Client subscribes to the feeds of other entries.
type Client struct {
	timer  kctport.Timer
	decode Decoder
}

var _ kctport.Feed = (*Client)(nil)

// NewClient returns a client that decodes records with the decoder.
func NewClient(timer kctport.Timer, decode Decoder) *Client {
	return &Client{timer: timer, decode: decode}
}

// Follow subscribes to a reader and passes its updates to handle until the feed fails or the context ends; the error wraps ErrUnavailable.
func (c *Client) Follow(ctx context.Context, reader kctport.EntryRecord, self func() kctport.EntryRecord, handle func(kctport.FeedUpdate)) error {
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
	heartbeats, stop := context.WithCancel(ctx)
	heartbeatsDone := make(chan struct{})
	go func() {
		defer close(heartbeatsDone)
		c.sendHeartbeats(heartbeats, s, self)
	}()
	err = c.receive(s, sent, handle)
	stop()
	s.Close()
	<-heartbeatsDone
	return eris.Wrapf(kctport.ErrUnavailable, "feed from %s: %v", reader.ID, err)
}

// sendHeartbeats sends this entry's record at each interval until the context ends or a write fails; it then closes the stream, which also ends receive.
func (c *Client) sendHeartbeats(ctx context.Context, s *kctmux.Stream, self func() kctport.EntryRecord) {
	ticks := c.timer.Subscribe(ctx, heartbeatInterval)
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

// receive passes updates to handle and acknowledges each. The sender sends the next update only then, so that the time since the last acknowledgement,
// less the time for which the sender held the update back, covers any transmission delay.
func (c *Client) receive(s *kctmux.Stream, acknowledged time.Time, handle func(kctport.FeedUpdate)) error {
	for {
		var m kctproto.FeedUpdate
		if err := s.Receive(&m); err != nil {
			return err
		}
		f, err := decodeUpdate(&m, c.decode)
		if err != nil {
			return err
		}
		delay := max(0, c.timer.Now().Sub(acknowledged)-time.Duration(m.GetHeld()))
		f.StoreAge += delay
		f.StoreSilence += delay
		handle(f)
		acknowledged = c.timer.Now()
		if err := s.Send(acknowledgement); err != nil {
			return err
		}
	}
}

// acknowledgement is a FeedHello without a record.
var acknowledgement = &kctproto.FeedHello{}
