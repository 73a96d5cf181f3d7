package kctrelay

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// maxAttempts bounds the concurrent attempts for one requesting entry; further ones are declined.
const maxAttempts = 1024

// pruneInterval is the interval at which messages with a passed deadline are dropped.
const pruneInterval = time.Second

// Server makes attempts for entries of other zones.
type Server struct {
	address netip.AddrPort
	handler kctport.RelayHandler
	timer   kctport.Timer
	guard   *kctguard.Guard
	// requests counts the attempts since the start.
	requests atomic.Uint64
}

// NewServer returns a server that doesn't listen before Start; its connections take from the guard's account.
func NewServer(address netip.AddrPort, handler kctport.RelayHandler, timer kctport.Timer, guard *kctguard.Guard) *Server {
	return &Server{address: address, handler: handler, timer: timer, guard: guard}
}

// Requests returns the number of attempts since the start.
func (s *Server) Requests() uint64 {
	return s.requests.Load()
}

// Start listens until the context ends; the channel closes when all attempts have ended. An error wraps ErrUnavailable.
func (s *Server) Start(ctx context.Context) (<-chan struct{}, error) {
	return kctmux.Serve(ctx, s.guard, s.timer, "relays", s.address, streamOptions, s.serve)
}

// serve handles the stream of one requesting entry until it ends.
func (s *Server) serve(ctx context.Context, st *kctmux.Stream) error {
	p := &peer{server: s, stream: st, messages: map[uint64]message{}, cancels: map[uint64]context.CancelFunc{}}
	return p.read(ctx)
}

// message is a caller's request whose attempts this entry makes, and the memory in bytes that was taken for it.
type message struct {
	*kctport.Message
	size int
}

// peer is an entry that requests attempts.
type peer struct {
	server *Server
	stream *kctmux.Stream
	// messages belongs to the reading goroutine.
	messages map[uint64]message
	// pruneAt is when the messages with a passed deadline are dropped next.
	pruneAt time.Time

	mu sync.Mutex
	// cancels holds the attempts in progress by number.
	cancels map[uint64]context.CancelFunc
}

// read handles calls until the stream ends. It then cancels the attempts, since their results can't be returned, and waits for them.
func (p *peer) read(ctx context.Context) error {
	var attempts sync.WaitGroup
	defer attempts.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		var call kctproto.RelayCall
		if err := p.stream.Receive(&call); err != nil {
			return err
		}
		now := p.server.timer.Now()
		if m := call.GetMessage(); m != nil {
			p.storeMessage(m, now)
		}
		if number := call.GetCancel(); number != 0 {
			p.cancel(number)
		}
		if send := call.GetSend(); send != nil {
			attempts.Go(p.prepare(ctx, send, now))
		}
	}
}

// storeMessage keeps a message until its deadline. Without memory for it, its attempts are declined, since the message is not known.
func (p *peer) storeMessage(m *kctproto.RelayMessage, now time.Time) {
	if !now.Before(p.pruneAt) {
		p.prune(now)
		p.pruneAt = now.Add(pruneInterval)
	}
	size := proto.Size(m)
	if err := p.stream.Take(size); err != nil {
		klog.V(1).InfoS("relayed message not kept", "request", m.GetId(), "bytes", size, "err", err)
		return
	}
	p.messages[m.GetNumber()] = message{decodeMessage(m, now), size}
}

// prune drops the messages with a passed deadline.
func (p *peer) prune(now time.Time) {
	for number, m := range p.messages {
		if m.Deadline.Before(now) {
			delete(p.messages, number)
			p.stream.Give(m.size)
		}
	}
}

func (p *peer) cancel(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.cancels[number]; cancel != nil {
		cancel()
	}
}

// prepare looks up an attempt's message and returns a function that makes the attempt and sends its result.
func (p *peer) prepare(ctx context.Context, send *kctproto.RelaySend, now time.Time) func() {
	p.server.requests.Add(1)
	number, known := send.GetNumber(), p.messages[send.GetMessage()].Message
	deadline := now.Add(time.Duration(send.GetLeft()))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	p.mu.Lock()
	tooMany := len(p.cancels) >= maxAttempts
	if !tooMany {
		p.cancels[number] = cancel
	}
	p.mu.Unlock()
	return func() {
		defer p.end(number, cancel)
		var r kctport.Response
		err := error(eris.Wrap(kctport.ErrDeclined, "the message is unknown or too many attempts are under way"))
		if known != nil && !tooMany {
			r, err = p.server.handler.Relay(ctx, kctport.RelayAttempt{
				Service: kctport.ServiceName(send.GetService()), Endpoint: kctport.InstanceID(send.GetEndpoint()), Message: known, Deadline: deadline,
			})
		}
		err = p.stream.Send(encodeResult(number, r, err))
		if errors.Is(err, proto.Error) {
			// Nothing was written: the signature holds bytes that are not UTF-8.
			err = p.stream.Send(encodeResult(number, r, eris.Wrapf(kctport.ErrMismatch, "encode the answer: %v", err)))
		}
		if err != nil {
			klog.V(1).InfoS("relayed answer not written", "err", err)
			p.stream.Close()
		}
	}
}

func (p *peer) end(number uint64, cancel context.CancelFunc) {
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, number)
}
