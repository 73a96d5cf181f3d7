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
)

// Mesh holds this entry's sessions with the others; it implements kctport.Peers.
type Mesh struct {
	self   kctport.Member
	timer  kctport.Timer
	codec  codec
	broken func(kctport.InstanceID)
	grace  time.Duration

	listener net.Listener
	// base ends when the mesh closes; dials run under it, not under the context of the request that caused them.
	base context.Context
	stop context.CancelFunc
	// wait counts the goroutines of the mesh.
	wait sync.WaitGroup

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	old    []*session
	served map[*accepted]struct{}
	closed bool

	sent     atomic.Uint64
	received atomic.Uint64
	dials    atomic.Uint64
	silent   atomic.Uint64
	// active and started count the requests being served and those ever begun.
	active   atomic.Int64
	started  atomic.Uint64
	draining atomic.Bool
}

var _ kctport.Peers = (*Mesh)(nil)

// Counters is a reading of a mesh's counters since its start.
type Counters struct {
	// Sent and Received are bytes of control messages, in requests and replies; relayed and forwarded work is not included.
	Sent     uint64
	Received uint64
	// Dials counts connections made, Silent counts sessions given up because nothing came back.
	Dials        uint64
	Unresponsive uint64
}

// New returns a mesh that listens nowhere yet and has no sessions.
func New(self kctport.Member, timer kctport.Timer, opts ...Option) *Mesh {
	m := &Mesh{
		self:   self,
		timer:  timer,
		grace:  graceDefault,
		broken: func(kctport.InstanceID) {},
		links:  map[netip.AddrPort]*link{},
		served: map[*accepted]struct{}{},
	}
	m.base, m.stop = context.WithCancel(context.Background())
	for _, o := range opts {
		o(m)
	}
	return m
}

// Listen binds this entry's peer address; port 0 picks a free one, see Address.
func (m *Mesh) Listen(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", m.self.Peer.String())
	if err != nil {
		return eris.Wrapf(err, "listen on peer address %s", m.self.Peer)
	}
	m.listener = l
	return nil
}

// Address returns the bound address, or the configured one before Listen.
func (m *Mesh) Address() netip.AddrPort {
	if m.listener == nil {
		return m.self.Peer
	}
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Counters returns the current counts.
func (m *Mesh) Counters() Counters {
	return Counters{
		Sent: m.sent.Load(), Received: m.received.Load(), Dials: m.dials.Load(), Unresponsive: m.silent.Load(),
	}
}

// Close ends all sessions and waits for the goroutines of the mesh.
func (m *Mesh) Close() {
	m.stop()
	if m.listener != nil {
		m.listener.Close()
	}
	m.mu.Lock()
	m.closed = true
	sessions := m.old
	for _, l := range m.links {
		if l.session != nil {
			sessions = append(sessions, l.session)
		}
	}
	m.old, m.links = nil, map[netip.AddrPort]*link{}
	for a := range m.served {
		a.close()
	}
	m.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	m.wait.Wait()
}
