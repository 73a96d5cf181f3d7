package kctrelay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kcttimer"
)

type echoHandler struct{}

func (echoHandler) Relay(context.Context, kctport.RelayAttempt) (kctport.Response, error) {
	return kctport.Response{Status: 200}, nil
}

// TestSessionsThatEnded guards against sessions of entries that are gone and stay in memory, since replaced entries have new identifiers.
func TestSessionsThatEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	client := NewClient(kcttimer.New())
	exchange := func(id kctport.InstanceID) error {
		m := &kctport.Message{Deadline: time.Now().Add(5 * time.Second)}
		_, err := client.Exchange(t.Context(), kctport.EntryRecord{ID: id, Relay: address}, &kctport.EndpointRecord{}, m, kctport.ExchangeOptions{Deadline: m.Deadline})
		return err
	}
	if exchange("never there") == nil {
		t.Error("an attempt through an entry that doesn't listen has an answer")
	}
	served, err := NewServer(address, echoHandler{}, kcttimer.New(), kctguard.New(kcttimer.New(), 256, 4096)).Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := exchange("stops"); err != nil {
		t.Error(err)
	}
	stop()
	<-served
	client.readers.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.sessions) != 0 {
		t.Errorf("%d sessions are kept", len(client.sessions))
	}
}
