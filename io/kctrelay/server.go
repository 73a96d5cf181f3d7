package kctrelay

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// maxAttempts bounds the attempts that one entry may have here at a time; beyond it they are refused as not sent.
const maxAttempts = 1024

// Server makes attempts for entries of other zones.
type Server struct {
	address netip.AddrPort
	handler kctport.RelayHandler
	timer   kctport.Timer
}

// NewServer returns a server that isn't listening yet.
func NewServer(address netip.AddrPort, handler kctport.RelayHandler, timer kctport.Timer) *Server {
	return &Server{address: address, handler: handler, timer: timer}
}

// Start listens until the context ends; the channel closes when all attempts have ended.
func (s *Server) Start(ctx context.Context) (<-chan struct{}, error) {
	return kctmux.Serve(ctx, "relays", s.address, streamOptions, s.serve)
}

// serve handles one entry until its stream ends.
func (s *Server) serve(ctx context.Context, st *kctmux.Stream) error {
	a := &asker{server: s, stream: st, messages: map[uint64]*kctport.Message{}, cancels: map[uint64]context.CancelFunc{}}
	return a.read(ctx)
}

// asker is one entry that asks for attempts.
type asker struct {
	server *Server
	stream *kctmux.Stream
	// messages are those of the reading goroutine alone.
	messages map[uint64]*kctport.Message

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// read takes calls until the stream ends; the attempts end with it, since nobody would get their answers.
func (a *asker) read(ctx context.Context) error {
	var attempts sync.WaitGroup
	defer attempts.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		var call kctproto.RelayCall
		if err := a.stream.Receive(&call); err != nil {
			return err
		}
		now := a.server.timer.Now()
		if m := call.GetMessage(); m != nil {
			a.keep(m, now)
		}
		if number := call.GetCancel(); number != 0 {
			a.cancel(number)
		}
		if send := call.GetSend(); send != nil {
			attempts.Go(a.begin(ctx, send, now))
		}
	}
}

func (a *asker) keep(m *kctproto.RelayMessage, now time.Time) {
	if len(a.messages) >= keptMessages {
		maps.DeleteFunc(a.messages, func(_ uint64, m *kctport.Message) bool { return m.Deadline.Before(now) })
	}
	a.messages[m.GetNumber()] = decodeMessage(m, now)
}

func (a *asker) cancel(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel := a.cancels[number]; cancel != nil {
		cancel()
	}
}

// begin prepares an attempt and returns what performs it.
func (a *asker) begin(ctx context.Context, send *kctproto.RelaySend, now time.Time) func() {
	number, message := send.GetNumber(), a.messages[send.GetMessage()]
	deadline := now.Add(time.Duration(send.GetLeft()))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	a.mu.Lock()
	full := len(a.cancels) >= maxAttempts
	if !full {
		a.cancels[number] = cancel
	}
	a.mu.Unlock()
	return func() {
		defer a.end(number, cancel)
		var r kctport.Response
		err := error(eris.Wrap(kctport.ErrDeclined, "the message is unknown or too many attempts are under way"))
		if message != nil && !full {
			r, err = a.server.handler.Relay(ctx, kctport.RelayAttempt{
				Service: kctport.ServiceName(send.GetService()), Endpoint: kctport.InstanceID(send.GetEndpoint()), Message: message, Deadline: deadline,
			})
		}
		if err := a.stream.Send(encodeResult(number, r, err)); err != nil {
			klog.V(1).InfoS("relayed answer not written", "err", err)
			a.stream.Close()
		}
	}
}

func (a *asker) end(number uint64, cancel context.CancelFunc) {
	cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancels, number)
}
