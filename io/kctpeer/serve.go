package kctpeer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// acceptRetryDelay is the wait after a failed accept, since causes such as a lack of file descriptors are temporary.
const acceptRetryDelay = 100 * time.Millisecond

// drainIdle is the time without a new request before a draining mesh closes, which covers requests still on the network.
const drainIdle = 100 * time.Millisecond

// accepted is a session that another entry dialed.
type accepted struct {
	mux *yamux.Session
	// client is the session's connection, which takes from the guard's account until its first request.
	client *kctguard.Conn
}

func (a *accepted) close() {
	a.mux.Close()
}

// Serve handles requests of other entries after Listen until the context ends; then it refuses new requests with ErrNotRun, waits for those in
// progress, closes the mesh and sends the result on the channel.
func (m *Mesh) Serve(ctx context.Context, handler kctport.PeerHandler) <-chan error {
	done := make(chan error, 1)
	if m.listener == nil {
		done <- eris.New("Serve called before Listen")
		return done
	}
	// Requests in progress continue after the context ends, until the grace period is over.
	requestCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
	accepting := make(chan error, 1)
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		accepting <- m.accept(requestCtx, handler)
	}()
	go func() {
		err := m.supervise(ctx, accepting)
		m.drain()
		abort()
		m.Close()
		done <- err
	}()
	return done
}

// accept starts a session on each accepted connection until the listener closes.
func (m *Mesh) accept(ctx context.Context, handler kctport.PeerHandler) error {
	for {
		c, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.ErrorS(err, "peer connection not accepted")
			select {
			case <-m.timer.After(ctx, acceptRetryDelay):
				continue
			case <-ctx.Done():
				return nil
			}
		}
		// The guard's listener returns no other type.
		client, _ := c.(*kctguard.Conn)
		mux, err := yamux.Server(&conn{Conn: c, idleTimeout: acceptedIdleLimit}, muxConfig())
		if err != nil {
			c.Close()
			return eris.Wrap(err, "start peer session")
		}
		if !m.startSession(ctx, &accepted{mux: mux, client: client}, handler) {
			return nil
		}
	}
}

// startSession starts serving an accepted session, or closes it and returns false when the mesh is closed.
func (m *Mesh) startSession(ctx context.Context, a *accepted, handler kctport.PeerHandler) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		a.close()
		return false
	}
	m.served[a] = struct{}{}
	m.wait.Add(1)
	go m.serveSession(ctx, a, handler)
	return true
}

// supervise sweeps sessions until the context or accepting ends.
func (m *Mesh) supervise(ctx context.Context, accepting <-chan error) error {
	ticks := m.timer.Subscribe(ctx, unresponsiveLimit)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-accepting:
			return err
		case now := <-ticks:
			m.sweep(now)
		}
	}
}

// drain refuses new requests and waits, at most for the grace period, until none is in progress and none has begun within drainIdle.
func (m *Mesh) drain() {
	m.draining.Store(true)
	m.listener.Close()
	ctx, cancel := context.WithTimeout(m.base, m.grace)
	defer cancel()
	begun := m.started.Load()
	for {
		select {
		case <-ctx.Done():
			klog.InfoS("peer requests cancelled at shutdown", "requests", m.active.Load())
			return
		case <-m.timer.After(ctx, drainIdle):
		}
		if m.active.Load() == 0 && m.started.Load() == begun {
			return
		}
		begun = m.started.Load()
	}
}

// serveSession accepts and serves the streams of one session until it ends.
func (m *Mesh) serveSession(ctx context.Context, a *accepted, handler kctport.PeerHandler) {
	defer m.wait.Done()
	defer func() {
		a.close()
		m.mu.Lock()
		delete(m.served, a)
		m.mu.Unlock()
	}()
	// The end of the session cancels its requests, since their replies can no longer be sent.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		stream, err := a.mux.AcceptStream()
		if err != nil {
			return
		}
		m.active.Add(1)
		m.started.Add(1)
		m.wait.Add(1)
		go m.serveStream(ctx, a, stream, handler)
	}
}
