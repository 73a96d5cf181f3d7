package kctpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// Mesh holds this entry's sessions with other entries and implements kctport.Peers.
type Mesh struct {
	self          kctport.Member
	timer         kctport.Timer
	codec         codec
	sessionFailed func(kctport.InstanceID)
	grace         time.Duration
	guard         *kctguard.Guard

	listener net.Listener
	// base ends when the mesh closes; dials use it instead of a request's context, because several requests wait for one dial.
	base context.Context
	stop context.CancelFunc
	// wait counts the goroutines of the mesh.
	wait sync.WaitGroup

	mu       sync.Mutex
	links    map[netip.AddrPort]*link
	retiring []*session
	served   map[*accepted]struct{}
	closed   bool

	sent              atomic.Uint64
	received          atomic.Uint64
	dials             atomic.Uint64
	unresponsiveCount atomic.Uint64
	// active counts the requests being served, started all that were begun.
	active   atomic.Int64
	started  atomic.Uint64
	draining atomic.Bool
}

var _ kctport.Peers = (*Mesh)(nil)

// Counters are the totals of a mesh since its start.
type Counters struct {
	// Sent and Received are the bytes of control requests and replies; relays and forwards are excluded.
	Sent     uint64
	Received uint64
	// Dials counts connection attempts, Unresponsive the requests whose deadline passed while their session received nothing.
	Dials        uint64
	Unresponsive uint64
}

// New returns a mesh without a listener and sessions.
func New(self kctport.Member, timer kctport.Timer, opts ...Option) *Mesh {
	m := &Mesh{
		self:          self,
		timer:         timer,
		grace:         defaultGrace,
		sessionFailed: func(kctport.InstanceID) {},
		links:         map[netip.AddrPort]*link{},
		served:        map[*accepted]struct{}{},
	}
	m.base, m.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(m)
	}
	if m.guard == nil {
		m.guard = kctguard.New(timer, kctguard.DefaultMemory, kctguard.DefaultFiles)
	}
	return m
}

// Listen binds this entry's peer address; with port 0, Address returns the port chosen.
func (m *Mesh) Listen(ctx context.Context) error {
	l, err := m.guard.ListenPeers(ctx, "peers", m.self.Peer)
	if err != nil {
		return eris.Wrapf(err, "listen on peer address %s", m.self.Peer)
	}
	m.listener = l
	return nil
}

// Address returns the bound address, or before Listen the configured one.
func (m *Mesh) Address() netip.AddrPort {
	if m.listener == nil {
		return m.self.Peer
	}
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Counters returns the current totals.
func (m *Mesh) Counters() Counters {
	return Counters{
		Sent: m.sent.Load(), Received: m.received.Load(), Dials: m.dials.Load(), Unresponsive: m.unresponsiveCount.Load(),
	}
}

// Close closes the listener and all sessions, and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.stop()
	if m.listener != nil {
		m.listener.Close()
	}
	m.mu.Lock()
	m.closed = true
	sessions := m.retiring
	for _, l := range m.links {
		if l.session != nil {
			sessions = append(sessions, l.session)
		}
	}
	m.retiring, m.links = nil, map[netip.AddrPort]*link{}
	for a := range m.served {
		a.close()
	}
	m.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	m.wait.Wait()
}
