package kctbackend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbody"
)

// pool holds the connections to one endpoint.
type pool struct {
	timer       kctport.Timer
	endpoint    kctport.InstanceID
	address     netip.AddrPort
	connections int
	transport   *http.Transport
	bodies      *kctbody.Reader
	// reportDropped is that of the client.
	reportDropped func(endpoint kctport.InstanceID, request string, err error)

	mu     sync.Mutex
	closed bool
	open   map[*conn]struct{}
}

func newPool(c *Client, e kctport.Endpoint, connections int) *pool {
	p := &pool{
		timer: c.timer, endpoint: e.ID, address: e.Address, connections: connections, bodies: &c.bodies, reportDropped: c.reportDropped, open: map[*conn]struct{}{},
	}
	dialer := &net.Dialer{Timeout: c.dial}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return p.add(raw), nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     defaultIdleTimeout,
		DisableCompression:  true,
		// An endpoint in trouble may send a head without end.
		MaxResponseHeaderBytes: maxReplyHead,
	}
	return p
}

func (p *pool) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, openedAt: p.timer.Now(), onClose: p.remove}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return c
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// closeIdleOpenedBefore closes the idle connections opened before a request that got no byte of a reply, since the cause,
// such as connection state lost by a middlebox, probably affects them too.
func (p *pool) closeIdleOpenedBefore(sent time.Time) {
	p.mu.Lock()
	stale := make([]*conn, 0, len(p.open))
	for c := range p.open {
		if c.idleAndOpenedBefore(sent) {
			stale = append(stale, c)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.discard()
	}
}

// close closes the idle connections; those in use are closed after their request.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// keepAlive reports whether connections stay open after their request.
func (p *pool) keepAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed
}
