package kctfeed

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// Server serves subscribers.
type Server struct {
	address netip.AddrPort
	source  kctport.FeedSource
	encoder *encoder
}

// NewServer returns a server that isn't listening yet.
func NewServer(address netip.AddrPort, source kctport.FeedSource) *Server {
	return &Server{address: address, source: source, encoder: newEncoder()}
}

// Start listens until the context ends; the channel closes when all feeds have ended.
func (s *Server) Start(ctx context.Context) (<-chan struct{}, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address.String())
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "listen for entries at %s: %v", s.address, err)
	}
	context.AfterFunc(ctx, func() { l.Close() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.accept(ctx, l)
	}()
	return done, nil
}

func (s *Server) accept(ctx context.Context, l net.Listener) {
	var feeds sync.WaitGroup
	defer feeds.Wait()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.InfoS("subscriber not accepted", "err", err)
			continue
		}
		feeds.Go(func() { s.serve(ctx, conn) })
	}
}

// serve handles one subscriber until its feed ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, muxConfig())
	if err != nil {
		conn.Close()
		klog.InfoS("session not opened", "peer", conn.RemoteAddr(), "err", err)
		return
	}
	defer session.Close()
	release := context.AfterFunc(ctx, func() { session.Close() })
	defer release()
	accepted, err := session.AcceptStream()
	if err != nil {
		klog.V(1).InfoS("stream not opened", "peer", conn.RemoteAddr(), "err", err)
		return
	}
	if err := s.feed(ctx, newStream(accepted), session); err != nil {
		klog.V(1).InfoS("feed ended", "peer", conn.RemoteAddr(), "err", err)
	}
}

// feed reads the subscriber's beats while another goroutine writes updates.
func (s *Server) feed(ctx context.Context, st *stream, session *yamux.Session) error {
	var hello kctproto.FeedHello
	if err := st.receive(&hello); err != nil {
		return err
	}
	entry, err := decodeEntry(hello.GetSelf())
	if err != nil {
		return err
	}
	subscription := s.source.Subscribe(ctx, entry)
	acknowledged := make(chan struct{}, 1)
	writing := make(chan struct{})
	go func() {
		defer close(writing)
		defer session.Close()
		s.write(st, subscription.Updates(), acknowledged)
	}()
	err = s.read(ctx, st, subscription, acknowledged)
	session.Close()
	close(acknowledged)
	subscription.End(context.WithoutCancel(ctx))
	<-writing
	return err
}

// read takes beats and acknowledgements until the stream ends.
func (s *Server) read(ctx context.Context, st *stream, subscription kctport.FeedSubscription, acknowledged chan<- struct{}) error {
	for {
		var m kctproto.FeedHello
		if err := st.receive(&m); err != nil {
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
		subscription.Beat(ctx, entry)
	}
}

// write passes updates on, each after the last one was acknowledged, until the subscription or the stream ends; the reading side then ends too.
func (s *Server) write(st *stream, updates <-chan kctport.FeedUpdate, acknowledged <-chan struct{}) {
	for f := range updates {
		if err := st.send(s.encoder.update(f)); err != nil {
			return
		}
		if _, ok := <-acknowledged; !ok {
			return
		}
	}
}
