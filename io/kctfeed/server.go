package kctfeed

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

// Server sends a source's updates to subscribers.
type Server struct {
	address netip.AddrPort
	source  kctport.FeedSource
	timer   kctport.Timer
	guard   *kctguard.Guard
	encoder *encoder
}

// NewServer returns a server that doesn't listen before Start; its connections take from the guard's account.
func NewServer(address netip.AddrPort, source kctport.FeedSource, timer kctport.Timer, guard *kctguard.Guard) *Server {
	return &Server{address: address, source: source, timer: timer, guard: guard, encoder: newEncoder()}
}

// Start listens until the context ends; the channel closes when all feeds have ended. An error wraps ErrUnavailable.
func (s *Server) Start(ctx context.Context) (<-chan struct{}, error) {
	return kctmux.Serve(ctx, s.guard, s.timer, "feeds", s.address, streamOptions, s.serve)
}

// serve handles one feed: it reads from the subscriber while another goroutine writes updates.
func (s *Server) serve(ctx context.Context, st *kctmux.Stream) error {
	var hello kctproto.FeedHello
	if err := st.Receive(&hello); err != nil {
		return err
	}
	if hello.GetAsk() {
		return s.answer(ctx, st)
	}
	entry, err := decodeEntry(hello.GetSelf())
	if err != nil {
		return err
	}
	subscription := s.source.Subscribe(ctx, entry)
	if first := decodeHeartbeat(entry, &hello); len(first.Suspicions)+len(first.Moves) > 0 {
		subscription.Heartbeat(ctx, first)
	}
	acknowledged := make(chan struct{}, 1)
	writeDone := make(chan struct{})
	go func() {
		defer close(writeDone)
		defer st.Close()
		s.write(st, subscription.Updates(), acknowledged)
	}()
	err = s.read(ctx, st, subscription, acknowledged)
	st.Close()
	close(acknowledged)
	subscription.End(context.WithoutCancel(ctx))
	<-writeDone
	return err
}

// answer sends the contact with the store and waits until the other end, which has what it asked for, closes the stream.
func (s *Server) answer(ctx context.Context, st *kctmux.Stream) error {
	if err := st.Send(encodeContact(s.source.Contact(ctx))); err != nil {
		return err
	}
	return st.Receive(&kctproto.FeedHello{})
}

// read handles heartbeats and acknowledgements until the stream ends.
func (s *Server) read(ctx context.Context, st *kctmux.Stream, subscription kctport.FeedSubscription, acknowledged chan<- struct{}) error {
	for {
		var m kctproto.FeedHello
		if err := st.Receive(&m); err != nil {
			return err
		}
		if m.GetSelf() == nil {
			select {
			case acknowledged <- struct{}{}:
			default:
				return eris.Wrap(kctport.ErrMismatch, "acknowledgement without an update")
			}
			continue
		}
		entry, err := decodeEntry(m.GetSelf())
		if err != nil {
			return err
		}
		subscription.Heartbeat(ctx, decodeHeartbeat(entry, &m))
	}
}

func decodeHeartbeat(entry kctport.EntryRecord, m *kctproto.FeedHello) kctport.FeedHeartbeat {
	return kctport.FeedHeartbeat{Entry: entry, Suspicions: decodeSuspicions(m.GetSuspicions()), Moves: decodeMoves(m.GetMoves())}
}

// write sends each update once the one before is acknowledged, until the subscription or the stream ends; its goroutine then closes the stream, which
// also ends read. The time that an update waited here counts for its age, and the time since the acknowledgement is told, so that the subscriber
// can work out how long the update was on its way.
func (s *Server) write(st *kctmux.Stream, updates <-chan kctport.FeedUpdate, acknowledged <-chan struct{}) {
	allowed := s.timer.Now()
	for f := range updates {
		now := s.timer.Now()
		waited := now.Sub(f.Made)
		f.Store.Age += waited
		f.Store.Silence += waited
		m := s.encoder.encodeUpdate(f)
		m.Held = int64(now.Sub(allowed))
		if err := st.Send(m); err != nil {
			return
		}
		if _, ok := <-acknowledged; !ok {
			return
		}
		allowed = s.timer.Now()
	}
}
