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

// closingEndpoint is an endpoint that closes each connection at its second request without a reply, or, with afterOne, after its first reply.
type closingEndpoint struct {
	listener net.Listener
	afterOne bool
	mu       sync.Mutex
	received map[string]int
	group    sync.WaitGroup
}

func newClosingEndpoint(t *testing.T, afterOne bool) *closingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &closingEndpoint{listener: l, afterOne: afterOne, received: map[string]int{}}
	e.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.group.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		e.group.Wait()
	})
	return e
}

func (e *closingEndpoint) serve(c net.Conn) {
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
		e.mu.Lock()
		e.received[p.Request]++
		e.mu.Unlock()
		if n > 0 {
			return
		}
		reply := kctwire.PartReply{Request: p.Request, Service: p.Service, Shard: p.Shard, Shards: p.Shards, Snapshot: p.Snapshot}
		reply.Checksum = kctwire.Checksum(&reply)
		body, _ := json.Marshal(reply)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if e.afterOne {
			return
		}
	}
}

// TestNoResend guards against automatic resends by net/http after a reused connection was closed: a request that
// was written may not be sent again, and one that was never written may not end with ErrUnknown.
func TestNoResend(t *testing.T) {
	for _, afterOne := range []bool{false, true} {
		t.Run(fmt.Sprintf("afterOne=%t", afterOne), func(t *testing.T) {
			e := newClosingEndpoint(t, afterOne)
			client := kctbackend.New(kcttimer.New())
			defer client.Close()
			fx := &fixture{}
			endpoint := kctport.Endpoint{ID: "a", Address: e.listener.Addr().(*net.TCPAddr).AddrPort()}
			resets := 0
			for range 300 {
				c := fx.newCall(replyTimeout)
				_, err := client.Call(context.Background(), endpoint, c)
				e.mu.Lock()
				received := e.received[c.Request]
				e.mu.Unlock()
				switch {
				case received > 1:
					t.Fatalf("%s was sent %d times", c.Request, received)
				case errors.Is(err, kctport.ErrNotRun):
					t.Fatalf("%s was not run although a new connection was possible: %v", c.Request, err)
				case err != nil && !(errors.Is(err, kctport.ErrReset) && errors.Is(err, kctport.ErrUnknown)):
					t.Fatalf("%s: %v, want ErrReset and ErrUnknown", c.Request, err)
				case err != nil:
					resets++
				}
			}
			if !afterOne && resets == 0 {
				t.Fatal("no request was sent on a closed connection")
			}
		})
	}
}
