package kctbackend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctwire"
)

// hangup is an endpoint that closes a connection without a reply at its second request, or right after its first reply.
type hangup struct {
	listener net.Listener
	afterOne bool
	mu       sync.Mutex
	received map[string]int
	group    sync.WaitGroup
}

func newHangup(t *testing.T, afterOne bool) *hangup {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hangup{listener: l, afterOne: afterOne, received: map[string]int{}}
	h.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.group.Go(func() { h.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		h.group.Wait()
	})
	return h
}

func (h *hangup) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var p kctwire.PartRequest
		data, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(data, &p) != nil {
			return
		}
		h.mu.Lock()
		h.received[p.Request]++
		h.mu.Unlock()
		if n > 0 {
			return
		}
		reply := kctwire.PartReply{Request: p.Request, Service: p.Service, Shard: p.Shard, Shards: p.Shards, Snapshot: p.Snapshot}
		reply.Checksum = kctwire.Checksum(&reply)
		body, _ := json.Marshal(reply)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if h.afterOne {
			return
		}
	}
}

// TestNoResend guards against net/http's own resend of a request on a reused connection that was closed:
// a request that was written once must not be written again, and one that was never written must not be unknown.
func TestNoResend(t *testing.T) {
	for _, afterOne := range []bool{false, true} {
		t.Run(fmt.Sprintf("afterOne=%t", afterOne), func(t *testing.T) {
			h := newHangup(t, afterOne)
			client := kctbackend.New(kcttimer.New())
			defer client.Close()
			b := &bench{}
			endpoint := kctport.Endpoint{ID: "a", Address: h.listener.Addr().(*net.TCPAddr).AddrPort()}
			lost := 0
			for range 300 {
				c := b.part(patience)
				_, err := client.Call(context.Background(), endpoint, c)
				h.mu.Lock()
				received := h.received[c.Request]
				h.mu.Unlock()
				switch {
				case received > 1:
					t.Fatalf("%s was sent %d times", c.Request, received)
				case errors.Is(err, kctport.ErrNotRun):
					t.Fatalf("%s was refused although a new connection was possible: %v", c.Request, err)
				case err != nil && !(errors.Is(err, kctport.ErrReset) && errors.Is(err, kctport.ErrUnknown)):
					t.Fatalf("%s: %v, want ErrReset and ErrUnknown", c.Request, err)
				case err != nil:
					lost++
				}
			}
			if !afterOne && lost == 0 {
				t.Fatal("no request met a closed connection")
			}
		})
	}
}
