package kctrelay

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// Client asks entries of other zones for attempts; it is safe for concurrent use.
type Client struct {
	timer kctport.Timer

	mu       sync.Mutex
	sessions map[kctport.InstanceID]*session
	// closed is set when no session may be opened any more.
	closed bool
	// readers are the goroutines of open sessions.
	readers sync.WaitGroup
}

var _ kctport.Relay = (*Client)(nil)

// NewClient returns a client without sessions.
func NewClient(timer kctport.Timer) *Client {
	return &Client{timer: timer, sessions: map[kctport.InstanceID]*session{}}
}

// Run closes all sessions at the end of the context; the channel closes after the last one.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		c.mu.Lock()
		c.closed = true
		for _, s := range c.sessions {
			<-s.opened
			s.close()
		}
		c.mu.Unlock()
		c.readers.Wait()
	}()
	return done
}

// session is the stream to one entry and the attempts that wait for their end.
type session struct {
	// opened is closed once the stream is there or err is set.
	opened chan struct{}
	err    error
	stream *kctmux.Stream
	// ended is closed when the stream has failed.
	ended chan struct{}

	mu       sync.Mutex
	number   uint64
	waiting  map[uint64]chan *kctproto.RelayResult
	messages map[*kctport.Message]uint64
}

// Exchange makes an attempt through an entry.
func (c *Client) Exchange(ctx context.Context, via kctport.EntryRecord, server *kctport.EndpointRecord, m *kctport.Message, o kctport.ExchangeOptions) (kctport.Response, error) {
	s, err := c.session(ctx, via)
	if err != nil {
		return kctport.Response{}, err
	}
	left := o.Deadline.Sub(c.timer.Now())
	if ctx.Err() != nil || left <= 0 {
		return kctport.Response{}, eris.Wrap(errNotSent, "no time left")
	}
	if o.BeforeSend != nil {
		o.BeforeSend()
	}
	a := &attempt{server: server, message: m, left: left, result: make(chan *kctproto.RelayResult, 1)}
	err = s.stream.SendFunc(func() proto.Message { return s.begin(a, c.timer.Now()) })
	number := a.number
	defer s.forget(number)
	if err != nil {
		s.close()
		return kctport.Response{}, eris.Wrapf(errLost, "relay through %s: %v", via.ID, err)
	}
	select {
	case r := <-a.result:
		return decodeResult(r)
	case <-s.ended:
		return kctport.Response{}, eris.Wrapf(errLost, "relay through %s ended", via.ID)
	case <-ctx.Done():
	}
	if err := s.stream.Send(&kctproto.RelayCall{Cancel: number}); err != nil {
		s.close()
	}
	if ctx.Err() == context.Canceled {
		return kctport.Response{}, eris.Wrap(context.Canceled, "cut off")
	}
	return kctport.Response{}, eris.Wrapf(kctport.ErrTimeout, "no answer through %s", via.ID)
}

// session returns the open session with an entry, or opens one.
func (c *Client) session(ctx context.Context, via kctport.EntryRecord) (*session, error) {
	c.mu.Lock()
	s := c.sessions[via.ID]
	fresh := s == nil || s.isEnded()
	if fresh && c.closed {
		c.mu.Unlock()
		return nil, eris.Wrap(errNotSent, "this entry is ending")
	}
	if fresh {
		s = &session{
			opened: make(chan struct{}), ended: make(chan struct{}),
			waiting: map[uint64]chan *kctproto.RelayResult{}, messages: map[*kctport.Message]uint64{},
		}
		c.sessions[via.ID] = s
	}
	c.mu.Unlock()
	if fresh {
		c.open(s, via)
	}
	select {
	case <-s.opened:
	case <-ctx.Done():
		return nil, eris.Wrapf(errNotSent, "no session with %s in time", via.ID)
	}
	return s, s.err
}

// open dials without regard to the caller that asked first, since others wait for the session too.
func (c *Client) open(s *session, via kctport.EntryRecord) {
	defer close(s.opened)
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", via.Relay.String())
	if err == nil {
		s.stream, err = kctmux.Open(conn, streamOptions)
	}
	if err != nil {
		s.err = eris.Wrapf(errNotSent, "relay session with %s: %v", via.ID, err)
		close(s.ended)
		klog.InfoS("relay not opened", "entry", via.ID, "err", err)
		return
	}
	klog.InfoS("relay opened", "entry", via.ID)
	c.readers.Go(func() {
		err := s.read()
		s.close()
		close(s.ended)
		klog.InfoS("relay lost", "entry", via.ID, "err", err)
	})
}

func (s *session) isEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *session) close() {
	if s.stream != nil {
		s.stream.Close()
	}
}

// read hands results to the attempts that wait for them until the stream fails.
func (s *session) read() error {
	for {
		var r kctproto.RelayResult
		if err := s.stream.Receive(&r); err != nil {
			return err
		}
		s.mu.Lock()
		waiting := s.waiting[r.GetNumber()]
		s.mu.Unlock()
		if waiting != nil {
			waiting <- &r
		}
	}
}

// attempt is one that waits for its end.
type attempt struct {
	server  *kctport.EndpointRecord
	message *kctport.Message
	left    time.Duration
	result  chan *kctproto.RelayResult
	number  uint64
}

// keptMessages is the number of messages from which those that are over are dropped.
const keptMessages = 512

// begin registers an attempt; the first one of a message carries the message. The caller writes the call before any other.
func (s *session) begin(a *attempt, now time.Time) *kctproto.RelayCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := &kctproto.RelayCall{}
	message, known := s.messages[a.message]
	if !known {
		if len(s.messages) >= keptMessages {
			maps.DeleteFunc(s.messages, func(m *kctport.Message, _ uint64) bool { return m.Deadline.Before(now) })
		}
		s.number++
		message = s.number
		s.messages[a.message] = message
		call.Message = encodeMessage(message, a.message, a.message.Deadline.Sub(now))
	}
	s.number++
	a.number = s.number
	call.Send = &kctproto.RelaySend{
		Number: a.number, Message: message, Service: string(a.server.Service), Endpoint: string(a.server.ID), Left: int64(a.left),
	}
	s.waiting[a.number] = a.result
	return call
}

func (s *session) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}
