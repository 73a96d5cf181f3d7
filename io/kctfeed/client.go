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

// Follow subscribes to an entry and passes its updates to handle until the feed fails or the context ends; the error wraps ErrUnavailable.
func (c *Client) Follow(ctx context.Context, entry kctport.EntryRecord, subscriber kctport.FeedSubscriber, handle func(kctport.FeedUpdate)) error {
	s, err := open(ctx, entry)
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
		c.sendHeartbeats(heartbeats, s, subscriber)
	}()
	err = c.receive(s, entry.ID, sent, handle)
	stop()
	s.Close()
	<-heartbeatsDone
	return eris.Wrapf(kctport.ErrUnavailable, "feed from %s: %v", entry.ID, err)
}

// Contact asks an entry for its contact with the store, without subscribing; the error wraps ErrUnavailable.
func (c *Client) Contact(ctx context.Context, entry, self kctport.EntryRecord) (kctport.StoreContact, error) {
	s, err := open(ctx, entry)
	if err != nil {
		return kctport.StoreContact{}, err
	}
	defer s.Close()
	release := context.AfterFunc(ctx, s.Close)
	defer release()
	asked := c.timer.Now()
	var m kctproto.FeedUpdate
	err = s.Send(&kctproto.FeedHello{Self: encodeEntry(self), Ask: true})
	if err == nil {
		err = s.Receive(&m)
	}
	if err != nil {
		return kctport.StoreContact{}, eris.Wrapf(kctport.ErrUnavailable, "contact of %s: %v", entry.ID, err)
	}
	return decodeContact(&m, entry.ID, c.timer.Now().Sub(asked)), nil
}

// open connects to an entry.
func open(ctx context.Context, entry kctport.EntryRecord) (*kctmux.Stream, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", entry.Peer.String())
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "connect to %s: %v", entry.ID, err)
	}
	return kctmux.Open(conn, streamOptions)
}

// sendHeartbeats sends this entry's record at each interval, and when suspicions or reports are pending, until the context ends or a write fails; it then closes the
// stream, which also ends receive.
func (c *Client) sendHeartbeats(ctx context.Context, s *kctmux.Stream, subscriber kctport.FeedSubscriber) {
	ticks := c.timer.Subscribe(ctx, heartbeatInterval)
	for {
		h := subscriber.Heartbeat()
		hello := &kctproto.FeedHello{Self: encodeEntry(h.Entry), Suspicions: encodeSuspicions(h.Suspicions), Moves: encodeMoves(h.Moves)}
		if err := s.Send(hello); err != nil {
			s.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-subscriber.Pending():
		}
	}
}

// receive passes updates to handle and acknowledges each. The sender sends the next update only then, so that the time since the last acknowledgement,
// less the time for which the sender held the update back, covers any transmission delay.
func (c *Client) receive(s *kctmux.Stream, sender kctport.InstanceID, acknowledged time.Time, handle func(kctport.FeedUpdate)) error {
	for {
		var m kctproto.FeedUpdate
		if err := s.Receive(&m); err != nil {
			return err
		}
		f, err := decodeUpdate(&m, c.decode)
		if err != nil {
			return err
		}
		delay := c.timer.Now().Sub(acknowledged) - time.Duration(m.GetHeld())
		f.Store = decodeContact(&m, sender, max(0, delay))
		handle(f)
		acknowledged = c.timer.Now()
		if err := s.Send(acknowledgement); err != nil {
			return err
		}
	}
}

// acknowledgement is a FeedHello without a record.
var acknowledgement = &kctproto.FeedHello{}
