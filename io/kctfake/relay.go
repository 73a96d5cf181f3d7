package kctfake

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// RelayFaults are the switches of a relay. A blocked direction holds its bytes back until it is open again, as a network partition does.
type RelayFaults struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BlockToTarget blocks the bytes to the target, and new connections; BlockFromTarget blocks the bytes from it.
	BlockToTarget, BlockFromTarget bool
	// Refuse resets new connections.
	Refuse bool
}

// Relay passes TCP connections on to a target; it stands for the network between two processes.
type Relay struct {
	target  netip.AddrPort
	at      netip.AddrPort
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	faults  RelayFaults
	changed chan struct{}
	open    map[net.Conn]struct{}
}

// RelayOption sets up a Relay.
type RelayOption func(*Relay)

// WithRelayAddress sets the listening address.
func WithRelayAddress(at netip.AddrPort) RelayOption {
	return func(r *Relay) { r.at = at }
}

// WithRelayFaults sets the switches that hold from the start.
func WithRelayFaults(f RelayFaults) RelayOption {
	return func(r *Relay) { r.faults = f }
}

// NewRelay returns a relay to the target that is not yet listening.
func NewRelay(target netip.AddrPort, opts ...RelayOption) *Relay {
	r := &Relay{target: target, at: loopback, done: make(chan struct{}), changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Start listens and relays until Stop or the end of the context.
func (r *Relay) Start(ctx context.Context) (netip.AddrPort, error) {
	l, at, err := listen(ctx, r.at)
	if err != nil {
		return at, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go r.accept(ctx, l)
	return at, nil
}

// Stop closes the listener and all connections and waits for their end.
func (r *Relay) Stop() {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
}

// SetFaults replaces the switches.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// ResetConnections resets all connections; new ones work unless they are refused.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		abort(c)
	}
}

func (r *Relay) look() (RelayFaults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.changed
}

// accept takes connections until the listener is closed, and ends after the last of them.
func (r *Relay) accept(ctx context.Context, l net.Listener) {
	defer close(r.done)
	var group sync.WaitGroup
	defer group.Wait()
	defer r.cancel()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if f, _ := r.look(); f.Refuse {
			abort(c)
			continue
		}
		group.Go(func() { r.relay(ctx, c) })
	}
}

// relay passes one connection on; it opens the second half when the way up is open.
func (r *Relay) relay(ctx context.Context, near net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.keep(near)()
	up := func(f RelayFaults) bool { return f.BlockToTarget }
	down := func(f RelayFaults) bool { return f.BlockFromTarget }
	if !r.pass(ctx, up) {
		return
	}
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		abort(near)
		return
	}
	defer r.keep(far)()
	context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	var group sync.WaitGroup
	group.Go(func() { r.copy(ctx, cancel, far, near, up) })
	group.Go(func() { r.copy(ctx, cancel, near, far, down) })
	group.Wait()
}

// keep lists an open connection and returns the function that closes it.
func (r *Relay) keep(c net.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, c)
		_ = c.Close()
	}
}

// pass waits until the direction is open; it is false when the context ended.
func (r *Relay) pass(ctx context.Context, blocked func(RelayFaults) bool) bool {
	for {
		f, changed := r.look()
		if !blocked(f) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
