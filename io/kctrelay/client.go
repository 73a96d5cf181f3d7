package kctrelay

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// Client requests attempts from entries of other zones; it is safe for concurrent use.
type Client struct {
	timer kctport.Timer

	mu       sync.Mutex
	sessions map[kctport.InstanceID]*session
	// closed is set once no more sessions may be opened.
	closed bool
	// readers counts the reading goroutines of open sessions.
	readers sync.WaitGroup
}

var _ kctport.Relay = (*Client)(nil)

// NewClient returns a client without open sessions.
func NewClient(timer kctport.Timer) *Client {
	return &Client{timer: timer, sessions: map[kctport.InstanceID]*session{}}
}

// Run closes all sessions when the context ends; the channel closes after the last one.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		c.mu.Lock()
		c.closed = true
		sessions := slices.Collect(maps.Values(c.sessions))
		c.mu.Unlock()
		for _, s := range sessions {
			// A session that can't be opened needs the lock before this.
			<-s.opened
			s.close()
		}
		c.readers.Wait()
	}()
	return done
}

// session is the stream to one entry with the attempts that wait for a result.
type session struct {
	// opened is closed once stream or err is set.
	opened chan struct{}
	err    error
	stream *kctmux.Stream
	// ended is closed when the stream has failed.
	ended chan struct{}

	mu     sync.Mutex
	number uint64
	// waiting holds the result channel of each attempt by its number.
	waiting map[uint64]chan *kctproto.RelayResult
	// messages holds the numbers of the messages already sent.
	messages map[*kctport.Message]uint64
}

// Exchange makes an attempt through an entry; errors are those of kctport.Relay.
func (c *Client) Exchange(ctx context.Context, via kctport.EntryRecord, endpoint *kctport.EndpointRecord, m *kctport.Message, o kctport.ExchangeOptions) (kctport.Response, error) {
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
	a := &attempt{endpoint: endpoint, message: m, left: left, result: make(chan *kctproto.RelayResult, 1)}
	err = s.stream.SendFunc(func() proto.Message { return s.register(ctx, a, c.timer.Now()) })
	number := a.number
	defer s.unregister(number)
	if errors.Is(err, proto.Error) {
		// Nothing was written: the message holds bytes that are not UTF-8.
		return kctport.Response{}, eris.Wrapf(errDeclined, "encode the attempt: %v", err)
	}
	if err != nil {
		s.close()
		return kctport.Response{}, eris.Wrapf(errSessionLost, "relay session with %s: %v", via.ID, err)
	}
	select {
	case r := <-a.result:
		return decodeResult(r)
	case <-s.ended:
		return kctport.Response{}, eris.Wrapf(errSessionLost, "relay session with %s ended", via.ID)
	case <-ctx.Done():
	}
	if err := s.stream.Send(&kctproto.RelayCall{Cancel: number}); err != nil {
		s.close()
	}
	if ctx.Err() == context.Canceled {
		return kctport.Response{}, eris.Wrap(context.Canceled, "cut off")
	}
	return kctport.Response{}, eris.Wrapf(kctport.ErrTimeout, "no result from %s before the deadline", via.ID)
}

// session returns the open session with an entry, or opens one.
func (c *Client) session(ctx context.Context, via kctport.EntryRecord) (*session, error) {
	c.mu.Lock()
	s := c.sessions[via.ID]
	isNew := s == nil || s.isEnded()
	if isNew && c.closed {
		c.mu.Unlock()
		return nil, eris.Wrap(errNotSent, "this entry is shutting down")
	}
	if isNew {
		s = &session{
			opened: make(chan struct{}), ended: make(chan struct{}),
			waiting: map[uint64]chan *kctproto.RelayResult{}, messages: map[*kctport.Message]uint64{},
		}
		c.sessions[via.ID] = s
	}
	c.mu.Unlock()
	if isNew {
		c.open(s, via)
	}
	select {
	case <-s.opened:
	case <-ctx.Done():
		return nil, eris.Wrapf(errNotSent, "relay session with %s not open in time", via.ID)
	}
	return s, s.err
}

// open dials with a timeout of its own instead of the first caller's context, since other callers wait for the session too.
func (c *Client) open(s *session, via kctport.EntryRecord) {
	defer close(s.opened)
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", via.Relay.String())
	if err == nil {
		s.stream, err = kctmux.Open(conn, streamOptions)
	}
	if err != nil {
		s.err = eris.Wrapf(errNotSent, "relay session with %s: %v", via.ID, err)
		close(s.ended)
		c.forget(via.ID, s)
		klog.InfoS("relay not opened", "entry", via.ID, "err", err)
		return
	}
	klog.InfoS("relay opened", "entry", via.ID)
	c.readers.Go(func() {
		err := s.read()
		s.close()
		close(s.ended)
		c.forget(via.ID, s)
		klog.InfoS("relay lost", "entry", via.ID, "err", err)
	})
}

// forget drops a session that has ended; entries come and go with new identifiers.
func (c *Client) forget(id kctport.InstanceID, s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[id] == s {
		delete(c.sessions, id)
	}
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

// read delivers results to the waiting attempts until the stream fails.
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

// attempt is an attempt that waits for its result.
type attempt struct {
	endpoint *kctport.EndpointRecord
	message  *kctport.Message
	// left is the time until the attempt's deadline.
	left   time.Duration
	result chan *kctproto.RelayResult
	number uint64
}

// register records an attempt and returns its call, which includes the message in the message's first attempt. Calls must be written in the order of
// registration. The message is forgotten when the context ends, which is that of all of its attempts.
func (s *session) register(ctx context.Context, a *attempt, now time.Time) *kctproto.RelayCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := &kctproto.RelayCall{}
	message, sent := s.messages[a.message]
	if !sent {
		s.number++
		message = s.number
		s.messages[a.message] = message
		context.AfterFunc(ctx, func() { s.forget(a.message) })
		call.Message = encodeMessage(message, a.message, a.message.Deadline.Sub(now))
	}
	s.number++
	a.number = s.number
	call.Send = &kctproto.RelaySend{
		Number: a.number, Message: message, Service: string(a.endpoint.Service), Endpoint: string(a.endpoint.ID), Left: int64(a.left),
	}
	s.waiting[a.number] = a.result
	return call
}

// forget drops a message that gets no further attempts.
func (s *session) forget(m *kctport.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.messages, m)
}

func (s *session) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}
