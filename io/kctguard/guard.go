package kctguard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/core/kctquota"
)

// DefaultMemory in MiB and DefaultFiles are the limits of a process for which settings name none.
const (
	DefaultMemory = 256
	DefaultFiles  = 4096
)

const (
	// reservedFiles is the number of descriptors that are not for sockets.
	reservedFiles = 200
	// callerFiles is the part of the other descriptors that clients get: one over it. Endpoints, other entries and the store need the rest.
	callerFiles = 2
	// connectionCost is what a connection without a request takes in bytes: its goroutines and buffers, and what it may have received that is not yet read.
	connectionCost = 24<<10 + 2*receiveBuffer
	// receiveBuffer is the size in bytes of a connection's receive buffer; Linux doubles it, for its own data beside the bytes.
	receiveBuffer = 16 << 10
	// backlogShare is the part of the places that may wait to be accepted at each listener, one over it, and minBacklog their smallest number.
	backlogShare = 2
	minBacklog   = 16
	// connectionShare and bodyShare are the parts of the process's memory for connections, and for requests and answers: one over them.
	connectionShare = 4
	bodyShare       = 6
	// timeoutFactor multiplies the operator's timeouts, which clients may use up.
	timeoutFactor = 1.25
	// sweepInterval is the interval at which timeouts are checked.
	sweepInterval = time.Second
	// peerTimeout bounds the time until the first message of another entry.
	peerTimeout = 10 * time.Second
	// logInterval is the shortest time between two log lines about refused clients.
	logInterval = 10 * time.Second
	// mib is the number of bytes in a MiB.
	mib = 1 << 20
)

// Guard opens the listeners of a process whose clients share one account.
type Guard struct {
	timer   kctport.Timer
	account *kctquota.Account
	// backlog is the number of connections of a listener that may wait to be accepted.
	backlog  int
	observe  func(listener string, reason kctquota.Reason)
	mu       sync.Mutex
	watched  map[string]func() kctport.CallerLimits
	refusals map[refusal]int
}

// refusal is a listener and why it refused a client.
type refusal struct {
	listener string
	reason   kctquota.Reason
}

// Option configures a Guard.
type Option func(*Guard)

// WithObserver sets the function that is called for each refused client and each connection that gave way; it must not block.
func WithObserver(observe func(listener string, reason kctquota.Reason)) Option {
	return func(g *Guard) { g.observe = observe }
}

// New returns a Guard for a process with a memory limit in MiB and a number of file descriptors.
func New(timer kctport.Timer, memory, files int, opts ...Option) *Guard {
	g := &Guard{
		timer: timer, observe: func(string, kctquota.Reason) {},
		watched: map[string]func() kctport.CallerLimits{}, refusals: map[refusal]int{},
	}
	for _, o := range opts {
		o(g)
	}
	b := bounds(memory, files)
	g.account, g.backlog = kctquota.New(b, kctquota.WithObserver(g.Refused)), max(minBacklog, b.Connections/backlogShare)
	return g
}

// bounds returns what clients of a process may take together.
func bounds(memory, files int) kctquota.Bounds {
	return kctquota.Bounds{
		Connections: max(1, min((files-reservedFiles)/callerFiles, memory*mib/connectionShare/connectionCost)),
		Bytes:       memory * mib / bodyShare,
	}
}

// Usage returns what clients hold.
func (g *Guard) Usage() kctquota.Usage { return g.account.Usage() }

// Refused counts a client that was refused or gave way.
func (g *Guard) Refused(listener string, reason kctquota.Reason) {
	g.observe(listener, reason)
	if reason == kctquota.ReasonIdle {
		// Clients leave connections idle as a matter of course.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals[refusal{listener, reason}]++
}

// Run checks timeouts and logs refused clients until the context ends; the channel closes then.
func (g *Guard) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticks := g.timer.Subscribe(ctx, sweepInterval)
		last, logged, skipped := g.timer.Now(), time.Time{}, false
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
			}
			now := g.timer.Now()
			// After a pause of the process, what has arrived meanwhile is read first.
			if skipped = !skipped && now.Sub(last) >= 2*sweepInterval; !skipped {
				g.sweep(now)
			}
			if last = now; now.Sub(logged) >= logInterval && g.logRefusals() {
				logged = now
			}
		}
	}()
	return done
}

// sweep makes the connections give way that have exceeded a timeout of their listener.
func (g *Guard) sweep(now time.Time) {
	g.mu.Lock()
	watched := make(map[string]kctport.CallerLimits, len(g.watched))
	for name, limits := range g.watched {
		watched[name] = limits()
	}
	g.mu.Unlock()
	for name, l := range watched {
		idle := time.Duration(timeoutFactor * float64(l.IdleTimeout))
		g.account.Expire(now, name, kctquota.Timeouts{Idle: idle, Head: time.Duration(timeoutFactor * float64(l.HeaderTimeout)), Stall: idle})
	}
}

// logRefusals logs the clients refused since the last call, a line for each listener and reason, and reports whether there were any.
func (g *Guard) logRefusals() bool {
	g.mu.Lock()
	refusals := g.refusals
	g.refusals = map[refusal]int{}
	g.mu.Unlock()
	for r, count := range refusals {
		usage := g.account.Usage()
		klog.InfoS("clients refused", "listener", r.listener, "reason", r.reason, "count", count, "connections", usage.Connections, "bytes", usage.Bytes)
	}
	return len(refusals) > 0
}

// ListenHTTP opens a listener for an HTTP server whose connections take from the account; Serve prepares the server. The limits apply to each request; they
// are read again for each. An error wraps ErrUnavailable.
func (g *Guard) ListenHTTP(ctx context.Context, name string, address netip.AddrPort, limits func() kctport.CallerLimits) (net.Listener, error) {
	return g.listen(ctx, &listener{name: name, limits: limits, isHTTP: true}, address)
}

// ListenPeers opens a listener for other protocols whose connections take from the account. One on which Admit isn't called within peerTimeout is closed.
// An error wraps ErrUnavailable.
func (g *Guard) ListenPeers(ctx context.Context, name string, address netip.AddrPort) (net.Listener, error) {
	limits := func() kctport.CallerLimits { return kctport.CallerLimits{IdleTimeout: peerTimeout} }
	return g.listen(ctx, &listener{name: name, limits: limits}, address)
}

func (g *Guard) listen(ctx context.Context, l *listener, address netip.AddrPort) (net.Listener, error) {
	opened, err := (&net.ListenConfig{Control: boundReceiveBuffer}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "listen at %s for %s: %v", address, l.name, err)
	}
	boundBacklog(opened, g.backlog)
	l.Listener, l.guard = opened, g
	g.mu.Lock()
	g.watched[l.name] = l.limits
	g.mu.Unlock()
	return l, nil
}

// boundReceiveBuffer bounds what the kernel receives for each connection of a listener before the process reads it. A platform without the option has bounds of
// its own.
func boundReceiveBuffer(_, address string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
			klog.InfoS("receive buffers not bounded", "address", address, "err", err)
		}
	})
}

// boundBacklog bounds the connections that wait to be accepted, which may have received bytes too.
func boundBacklog(l net.Listener, backlog int) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	var listenErr error
	if err == nil {
		err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) })
	}
	if err := errors.Join(err, listenErr); err != nil {
		klog.InfoS("backlog not bounded", "address", l.Addr().String(), "err", err)
	}
}

// Serve makes an HTTP server, whose handler is set, tell its connections, which come from ListenHTTP, in which phase they are.
func Serve(s *http.Server) {
	s.MaxHeaderBytes = maxHead
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			w = &answerWriter{ResponseWriter: w, conn: c}
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.beginBody()
		case http.StateIdle:
			c.rest()
		}
	}
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context { return context.WithValue(ctx, connKey{}, raw) }
}

// answerWriter tells a connection of the answer that is written to it.
type answerWriter struct {
	http.ResponseWriter
	conn *Conn
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.conn.answer(len(b))
	return w.ResponseWriter.Write(b)
}

type connKey struct{}

// FromContext returns the connection of a request, nil for one that a Guard did not accept.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// listener accepts connections within the account.
type listener struct {
	net.Listener
	guard  *Guard
	name   string
	limits func() kctport.CallerLimits
	isHTTP bool
}

// Accept returns the next connection for which there is a place, and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		var key kctquota.Group
		if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
			key.Address = a.AddrPort().Addr()
		}
		key.Listener = l.name
		if c.holder, err = l.guard.account.Open(l.guard.timer.Now(), key, c.giveWay); err != nil {
			raw.Close()
			continue
		}
		return c, nil
	}
}
