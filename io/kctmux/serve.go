package kctmux

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// acceptRetryDelay is the pause after a connection could not be accepted, for which a want of file descriptors is the usual cause.
const acceptRetryDelay = 100 * time.Millisecond

// Handler serves one stream until it ends; the context ends when the server stops.
type Handler func(ctx context.Context, s *Stream) error

// Serve accepts connections at the address, within the guard's account, until the context ends; the channel is closed when all streams have ended. Logs
// show the name. An error wraps ErrUnavailable.
func Serve(ctx context.Context, guard *kctguard.Guard, timer kctport.Timer, name string, address netip.AddrPort, o Options, handle Handler) (<-chan struct{}, error) {
	l, err := guard.ListenPeers(ctx, name, address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	s := &server{timer: timer, name: name, options: o, handle: handle}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.accept(ctx, l)
	}()
	return done, nil
}

// server accepts connections and passes their streams to handle.
type server struct {
	timer   kctport.Timer
	name    string
	options Options
	handle  Handler
}

// accept serves connections until the listener closes, and waits for their streams to end.
func (s *server) accept(ctx context.Context, l net.Listener) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.InfoS("cannot accept connection", "for", s.name, "err", err)
			select {
			case <-ctx.Done():
			case <-s.timer.After(ctx, acceptRetryDelay):
			}
			continue
		}
		streams.Go(func() { s.serve(ctx, conn) })
	}
}

// serve handles the one stream of a connection until the stream ends.
func (s *server) serve(ctx context.Context, conn net.Conn) {
	config := s.options.config()
	// A further stream would hold a receive window that nobody reads.
	config.AcceptBacklog = 1
	session, err := yamux.Server(conn, config)
	if err != nil {
		conn.Close()
		klog.InfoS("cannot open session", "for", s.name, "peer", conn.RemoteAddr(), "err", err)
		return
	}
	defer session.Close()
	release := context.AfterFunc(ctx, func() { session.Close() })
	defer release()
	accepted, err := session.AcceptStream()
	if err != nil {
		klog.V(1).InfoS("cannot accept stream", "for", s.name, "peer", conn.RemoteAddr(), "err", err)
		return
	}
	stream := newStream(session, accepted, s.options)
	stream.client, _ = conn.(*kctguard.Conn)
	err = s.handleSafely(ctx, stream)
	klog.V(1).InfoS("stream ended", "for", s.name, "peer", conn.RemoteAddr(), "err", err)
}

// handleSafely handles a stream. An error that nobody expected ends only this stream, since what another process sends must not end this one.
func (s *server) handleSafely(ctx context.Context, stream *Stream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("panic: %v", p)
			klog.ErrorS(nil, "handling a stream panicked", "for", s.name, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return s.handle(ctx, stream)
}
