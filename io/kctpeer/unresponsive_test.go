package kctpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
)

// proxy forwards connections to a mesh and can drop the traffic of the open ones, or also of later ones.
type proxy struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	dropping chan struct{}
	// stall, if set, blocks reads from connections whose traffic is dropped until it is closed, so that writes to them block.
	stall chan struct{}
}

// newProxy starts a proxy to a member and returns it with the member at the proxy's address.
func newProxy(t *testing.T, to kctport.Member) (*proxy, kctport.Member) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: to.Peer.String(), dropping: make(chan struct{})}
	p.wait.Go(p.accept)
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		for _, c := range p.conns {
			c.Close()
		}
		p.mu.Unlock()
		p.wait.Wait()
	})
	to.Peer = l.Addr().(*net.TCPAddr).AddrPort()
	return p, to
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		dropping := p.dropping
		p.mu.Unlock()
		p.wait.Go(func() { p.forward(in, out, dropping) })
		p.wait.Go(func() { p.forward(out, in, dropping) })
	}
}

// forward copies bytes until the connection ends, and drops them once dropping is closed.
func (p *proxy) forward(from, to net.Conn, dropping chan struct{}) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			if !errors.Is(err, io.EOF) || !closed(dropping) {
				to.Close()
			}
			return
		}
		if !closed(dropping) {
			_, _ = to.Write(b[:n])
		} else if p.stall != nil {
			<-p.stall
		}
	}
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// dropTraffic drops the traffic of the open connections and, with all, of later ones.
func (p *proxy) dropTraffic(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dropping)
	if !all {
		p.dropping = make(chan struct{})
	}
}

// relay relays a call with a timeout and returns how long it took.
func relay(client *Mesh, to kctport.Member, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	_, err := client.Relay(ctx, to, kctport.PartCall{Request: "q"})
	return time.Since(start), err
}

// TestUnresponsiveSession guards against requests that time out on a session after an earlier one did: the network drops the session's traffic
// without closing the connection.
func TestUnresponsiveSession(t *testing.T) {
	server, client, _ := start(t, &echo{})
	p, to := newProxy(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.dropTraffic(false)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			if _, err := relay(client, to, 200*time.Millisecond); !errors.Is(err, kctport.ErrTimeout) || errors.Is(err, kctport.ErrNotRun) {
				t.Errorf("request on the unresponsive session: got %v, want a timeout that is not ErrNotRun", err)
			}
		})
	}
	wait.Wait()
	for range 3 {
		if _, err := relay(client, to, 5*time.Second); err != nil {
			t.Errorf("request after the unresponsive session: %v", err)
		}
	}
	if c := client.Counters(); c.Dials != 2 || c.Unresponsive == 0 {
		t.Errorf("got counters %+v, want 2 dials and requests on an unresponsive session", c)
	}
}

// TestUnresponsiveSessionCancelled guards against an unresponsive session that stays in use because its requests, such as losing hedges, are
// cancelled before their deadlines.
func TestUnresponsiveSessionCancelled(t *testing.T) {
	server, client, _ := start(t, &echo{})
	p, to := newProxy(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.dropTraffic(false)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := client.Relay(ctx, to, kctport.PartCall{}); !errors.Is(err, context.Canceled) {
		t.Fatalf("cancelled request: got %v, want context.Canceled", err)
	}
	time.Sleep(unresponsiveLimit)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Errorf("request after the unresponsive session: %v", err)
	}
}

// TestBlockedWrites guards against requests that continue past their deadline in a write, because the other entry has stopped reading.
func TestBlockedWrites(t *testing.T) {
	server, client, _ := start(t, &echo{})
	p, to := newProxy(t, server)
	p.stall = make(chan struct{})
	t.Cleanup(func() { close(p.stall) })
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.dropTraffic(false)
	var wait sync.WaitGroup
	for range 40 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := client.Relay(ctx, to, kctport.PartCall{Body: make([]byte, MaxMessage/4), Key: "k"})
			if took := time.Since(start); err == nil || took > time.Second {
				t.Errorf("request in a blocked write: got %v after %v, want an error within 1s", err, took)
			}
		})
	}
	wait.Wait()
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Errorf("request after the unresponsive session: %v", err)
	}
}

// TestPaused guards against requests that wait until their deadline or end with an unknown outcome at a paused member, whose kernel accepts
// connections while the process does not reply.
func TestPaused(t *testing.T) {
	server, client, _ := start(t, &echo{})
	p, to := newProxy(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.dropTraffic(true)
	if _, err := relay(client, to, 200*time.Millisecond); !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("first request: got %v, want a timeout", err)
	}
	if _, err := relay(client, to, 5*time.Second); !errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("request on a new connection: got %v, want ErrNotRun", err)
	}
	for range 20 {
		took, err := relay(client, to, 5*time.Second)
		if !errors.Is(err, kctport.ErrNotRun) || took > dialTimeout/2 {
			t.Errorf("later request: got %v after %v, want ErrNotRun at once", err, took)
		}
	}
	p.mu.Lock()
	p.dropping = make(chan struct{})
	p.mu.Unlock()
	limit := time.Now().Add(5 * time.Second)
	for {
		_, err := relay(client, to, 5*time.Second)
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("requests to the member still fail 5 s after it replies again: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
