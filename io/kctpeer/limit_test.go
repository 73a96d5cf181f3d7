package kctpeer

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// TestLimits guards against messages of unbounded size, and against ErrNotRun for a request that ran but whose reply was too large.
func TestLimits(t *testing.T) {
	h := &echo{}
	to, client, _ := start(t, h)
	large := make([]byte, MaxMessage)
	_, err := client.Forward(t.Context(), to, kctport.Execution{Body: large})
	if !errors.Is(err, kctport.ErrNotRun) || !errors.Is(err, kctport.ErrInvalid) {
		t.Errorf("large request: got %v, want ErrNotRun and ErrInvalid", err)
	}
	h.pad = string(large)
	_, err = client.Relay(t.Context(), to, kctport.PartCall{Key: "k"})
	if !errors.Is(err, kctport.ErrUnknown) || errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("large reply: got %v, want ErrUnknown without ErrNotRun", err)
	}
	h.pad = ""
	if _, err = client.Relay(t.Context(), to, kctport.PartCall{Body: large[:MaxMessage/2]}); err != nil {
		t.Errorf("request of half the limit: %v", err)
	}
}

// TestGarbage guards against a connection with another protocol or invalid frames that makes requests on other connections fail.
func TestGarbage(t *testing.T) {
	to, client, _ := start(t, &echo{})
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x04\xff\xff\xff\xff"} {
		c, err := net.Dial("tcp", to.Peer.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Error(err)
	}
}

// TestIdle guards against sessions to thousands of members that stay open after a single probe each.
func TestIdle(t *testing.T) {
	to, client, _ := start(t, &echo{})
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	limit := time.Now().Add(5 * time.Second)
	for len(client.links) > 0 && time.Now().Before(limit) {
		// A stream closes shortly after its request.
		time.Sleep(10 * time.Millisecond)
		client.sweep(time.Now().Add(dialedIdleLimit + time.Second))
	}
	if len(client.links) > 0 {
		t.Error("idle session is still open")
	}
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Error(err)
	}
}

// FuzzDecode searches for input that makes decode or the conversion of a message panic.
func FuzzDecode(f *testing.F) {
	b, err := encode(&kctproto.Request{Remaining: 1, Body: &kctproto.Request_Probe{Probe: fromProbe(kctport.Probe{From: fleetMember(1)})}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		req := &kctproto.Request{}
		if _, err := decode(bytes.NewReader(b), req); err == nil {
			_ = toProbe(req.GetProbe())
			_ = toCall(req.GetRelay(), time.Time{})
		}
	})
}
