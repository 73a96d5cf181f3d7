package kctfake

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// RelayFaults are the faults that a relay injects. A blocked direction holds its bytes back until it is unblocked, as a network partition does.
type RelayFaults struct {
	// Delay is the one-way delay in each direction.
	Delay time.Duration
	// BlockToTarget blocks the bytes to the target and new connections to it; BlockFromTarget blocks the bytes from it.
	BlockToTarget, BlockFromTarget bool
	// Refuse resets new connections.
	Refuse bool
}

// Relay forwards TCP connections to a target and simulates the network between two processes.
type Relay struct {
	target  netip.AddrPort
	address netip.AddrPort
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	faults  RelayFaults
	changed chan struct{}
	open    map[net.Conn]struct{}
}

// RelayOption configures a Relay.
type RelayOption func(*Relay)

// WithRelayAddress sets the listening address.
func WithRelayAddress(address netip.AddrPort) RelayOption {
	return func(r *Relay) { r.address = address }
}

// WithRelayFaults sets the faults that are injected from the start.
func WithRelayFaults(f RelayFaults) RelayOption {
	return func(r *Relay) { r.faults = f }
}

// NewRelay returns a relay to the target that does not listen yet.
func NewRelay(target netip.AddrPort, opts ...RelayOption) *Relay {
	r := &Relay{target: target, address: loopback, done: make(chan struct{}), changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Start listens and relays until Stop or the end of the context; it returns the listening address.
func (r *Relay) Start(ctx context.Context) (netip.AddrPort, error) {
	l, address, err := listen(ctx, r.address)
	if err != nil {
		return address, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go r.accept(ctx, l)
	return address, nil
}

// Stop closes the listener and all connections and waits until their goroutines have ended.
func (r *Relay) Stop() {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
}

// SetFaults replaces the injected faults.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// ResetConnections resets the open connections; new ones are not affected.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		abort(c)
	}
}

// state returns the faults and a channel that is closed when they change.
func (r *Relay) state() (RelayFaults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.changed
}

// accept relays connections until the listener is closed, and returns after the last of them has ended.
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
		if f, _ := r.state(); f.Refuse {
			abort(c)
			continue
		}
		group.Go(func() { r.relay(ctx, c) })
	}
}

// relay forwards one connection; it dials the target once the direction to it is not blocked.
func (r *Relay) relay(ctx context.Context, inbound net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.track(inbound)()
	toTargetBlocked := func(f RelayFaults) bool { return f.BlockToTarget }
	fromTargetBlocked := func(f RelayFaults) bool { return f.BlockFromTarget }
	if !r.waitUnblocked(ctx, toTargetBlocked) {
		return
	}
	var dialer net.Dialer
	outbound, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		abort(inbound)
		return
	}
	defer r.track(outbound)()
	context.AfterFunc(ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	var group sync.WaitGroup
	group.Go(func() { r.copy(ctx, cancel, outbound, inbound, toTargetBlocked) })
	group.Go(func() { r.copy(ctx, cancel, inbound, outbound, fromTargetBlocked) })
	group.Wait()
}

// track adds an open connection and returns the function that removes and closes it.
func (r *Relay) track(c net.Conn) func() {
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

// waitUnblocked waits until the direction is not blocked; it returns false if the context ended.
func (r *Relay) waitUnblocked(ctx context.Context, blocked func(RelayFaults) bool) bool {
	for {
		f, changed := r.state()
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
