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

// wire forwards connections to a server and can silence those that exist or all.
type wire struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	silence  chan struct{}
	// stall, if set, makes silent connections stop reading until it closes, so that writes to them block.
	stall chan struct{}
}

func newWire(t *testing.T, to kctport.Member) (*wire, kctport.Member) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: l, target: to.Peer.String(), silence: make(chan struct{})}
	w.wait.Go(w.accept)
	t.Cleanup(func() {
		l.Close()
		w.mu.Lock()
		for _, c := range w.conns {
			c.Close()
		}
		w.mu.Unlock()
		w.wait.Wait()
	})
	to.Peer = l.Addr().(*net.TCPAddr).AddrPort()
	return w, to
}

func (w *wire) accept() {
	for {
		in, err := w.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", w.target)
		if err != nil {
			in.Close()
			continue
		}
		w.mu.Lock()
		w.conns = append(w.conns, in, out)
		silence := w.silence
		w.mu.Unlock()
		w.wait.Go(func() { w.carry(in, out, silence) })
		w.wait.Go(func() { w.carry(out, in, silence) })
	}
}

// carry copies until the end, and drops the bytes after the silence began.
func (w *wire) carry(from, to net.Conn, silence chan struct{}) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			if !errors.Is(err, io.EOF) || !closed(silence) {
				to.Close()
			}
			return
		}
		if !closed(silence) {
			_, _ = to.Write(b[:n])
		} else if w.stall != nil {
			<-w.stall
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

// quiet silences the connections that exist; with all, also those to come.
func (w *wire) quiet(all bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.silence)
	if !all {
		w.silence = make(chan struct{})
	}
}

func relay(client *Mesh, to kctport.Member, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	_, err := client.Relay(ctx, to, kctport.PartCall{Request: "q"})
	return time.Since(start), err
}

// TestSilent guards against a second request that waits on a session that went silent.
func TestSilent(t *testing.T) {
	server, client, _ := start(t, &echo{})
	w, to := newWire(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	w.quiet(false)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			if _, err := relay(client, to, 200*time.Millisecond); !errors.Is(err, kctport.ErrTimeout) || errors.Is(err, kctport.ErrNotRun) {
				t.Errorf("request on the silent session: got %v", err)
			}
		})
	}
	wait.Wait()
	for range 3 {
		if _, err := relay(client, to, 5*time.Second); err != nil {
			t.Errorf("request after the silent session: %v", err)
		}
	}
	if c := client.Counters(); c.Dials != 2 || c.Unresponsive == 0 {
		t.Errorf("got %+v, want 2 dials and a silent session", c)
	}
}

// TestSilentCancelled guards against a silent session that stays in use because its requests are cancelled, as losing hedges are, before their deadlines.
func TestSilentCancelled(t *testing.T) {
	server, client, _ := start(t, &echo{})
	w, to := newWire(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	w.quiet(false)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := client.Relay(ctx, to, kctport.PartCall{}); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	time.Sleep(silentLimit)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Errorf("request after the silent session: %v", err)
	}
}

// TestBlockedWrites guards against requests that outlast their deadline because the other side has stopped reading.
func TestBlockedWrites(t *testing.T) {
	server, client, _ := start(t, &echo{})
	w, to := newWire(t, server)
	w.stall = make(chan struct{})
	t.Cleanup(func() { close(w.stall) })
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	w.quiet(false)
	var wait sync.WaitGroup
	for range 40 {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := client.Relay(ctx, to, kctport.PartCall{Body: make([]byte, MaxMessage/4), Key: "k"})
			if took := time.Since(start); err == nil || took > time.Second {
				t.Errorf("got %v after %v", err, took)
			}
		})
	}
	wait.Wait()
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Errorf("request after the silent session: %v", err)
	}
}

// TestPaused guards against requests that wait for their deadline, or become unknown, at a member that accepts connections and says nothing.
func TestPaused(t *testing.T) {
	server, client, _ := start(t, &echo{})
	w, to := newWire(t, server)
	if _, err := relay(client, to, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	w.quiet(true)
	if _, err := relay(client, to, 200*time.Millisecond); !errors.Is(err, kctport.ErrTimeout) {
		t.Errorf("first request: got %v", err)
	}
	if _, err := relay(client, to, 5*time.Second); !errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("request on a new connection: got %v", err)
	}
	for range 20 {
		took, err := relay(client, to, 5*time.Second)
		if !errors.Is(err, kctport.ErrNotRun) || took > dialTimeout/2 {
			t.Errorf("later request: got %v after %v", err, took)
		}
	}
	w.mu.Lock()
	w.silence = make(chan struct{})
	w.mu.Unlock()
	limit := time.Now().Add(5 * time.Second)
	for {
		_, err := relay(client, to, 5*time.Second)
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("member that answers again: got %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
