package kctbackend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kcttimer"
)

// recordReply returns the bytes of the stand-in's reply to a call.
func recordReply(t *testing.T, at netip.AddrPort, request []byte) string {
	t.Helper()
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(request); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

// TestCutReply guards against a reply that breaks off at any byte of its head or body and is taken for a whole answer or for "not run".
func TestCutReply(t *testing.T) {
	fx := newFixture(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	// The server passes each request on to the stand-in and returns the reply up to cut.
	var cut, length atomic.Int64
	length.Store(1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				body, _ := io.ReadAll(r.Body)
				request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", r.RequestURI, len(body), body)
				reply := recordReply(t, fx.endpoint.Address, request)
				length.Store(int64(len(reply)))
				// An error shows as a cut.
				_, _ = io.WriteString(c, reply[:min(int(cut.Load()), len(reply))])
			}
			c.Close()
		}
	}()
	endpoint := fx.endpoint
	endpoint.Address = netip.MustParseAddrPort(l.Addr().String())
	for ; cut.Load() <= length.Load(); cut.Add(1) {
		client := kctbackend.New(kcttimer.New())
		call := fx.newCall(replyTimeout)
		reply, err := client.Call(context.Background(), endpoint, call)
		client.Close()
		switch whole := cut.Load() >= length.Load(); {
		case whole && (err != nil || len(reply.Items) != len(kctfake.ExpectedItems(call.Part, call.Shards, call.Snapshot, call.Body))):
			t.Errorf("whole reply: %+v, %v", reply, err)
		case !whole && (err == nil || errors.Is(err, kctport.ErrNotRun)):
			t.Fatalf("reply cut after %d of %d bytes: %+v, %v; want an error that does not say that it has not run", cut.Load(), length.Load(), reply, err)
		}
	}
}
