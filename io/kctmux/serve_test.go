package kctmux_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
	"kingcupturn/io/kcttimer"
)

// TestHandlerThatPanics guards against a message of another process that ends this one, and against streams that are no longer served after it.
func TestHandlerThatPanics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	ctx, stop := context.WithCancel(context.Background())
	var streams atomic.Int32
	served, err := kctmux.Serve(ctx, kctguard.New(kcttimer.New(), 256, 4096), kcttimer.New(), "test", address, kctmux.Options{KeepAlive: time.Second}, func(_ context.Context, s *kctmux.Stream) error {
		var call kctproto.RelayCall
		if err := s.Receive(&call); err != nil {
			return err
		}
		if streams.Add(1) == 1 {
			panic("odd message")
		}
		return s.Send(&kctproto.RelayResult{Number: call.GetCancel()})
	})
	if err != nil {
		t.Fatal(err)
	}
	call := func() error {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return err
		}
		defer conn.Close()
		s, err := kctmux.Open(conn, kctmux.Options{KeepAlive: time.Second})
		if err != nil {
			return err
		}
		defer s.Close()
		if err := s.Send(&kctproto.RelayCall{Cancel: 7}); err != nil {
			return err
		}
		return s.Receive(&kctproto.RelayResult{})
	}
	if err := call(); err == nil {
		t.Error("the stream whose handler panicked has an answer")
	}
	if err := call(); err != nil {
		t.Errorf("the next stream: %v", err)
	}
	stop()
	<-served
}
