package kctegress

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// dialTimeout limits the opening of a connection: endpoints are a few milliseconds away, so trying another endpoint is faster than waiting longer.
	dialTimeout = 300 * time.Millisecond
	// idleSweep is the interval at which connections past their idle timeout are closed.
	idleSweep = 2 * time.Second
	// nonIdempotentIdle is the longest idle time of a connection that a non-idempotent request may use; endpoints may close older ones without notice.
	nonIdempotentIdle = 400 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	idle []*conn
	// open counts all connections, including those being opened.
	open int
	// waiting holds the channels of requests that wait for a connection, oldest first; a nil connection permits opening one.
	waiting []chan *conn
}

// Pools holds the connections to all endpoints by address; it is safe for concurrent use.
type Pools struct {
	timer kctport.Timer
	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
	// opened counts the connections opened since the start.
	opened uint64
}

func newPools(timer kctport.Timer) *Pools {
	return &Pools{timer: timer, pools: map[netip.AddrPort]*pool{}}
}

// get returns an idle connection, opens one within the limit, or waits until one is put back or closed; a non-idempotent request gets only
// recently used or new ones. Errors wrap errNotSent.
func (p *Pools) get(ctx context.Context, at netip.AddrPort, limit int, nonIdempotent bool) (*conn, error) {
	for {
		c, wait := p.reserve(at, limit, nonIdempotent)
		if c != nil {
			return c, nil
		}
		if wait == nil {
			return p.dial(ctx, at)
		}
		select {
		case c := <-wait:
			if c != nil {
				return c, nil
			}
			// A connection was closed, so another one may be opened.
		case <-ctx.Done():
			p.cancelWait(at, wait)
			return nil, eris.Wrapf(errNotSent, "no free connection to %s", at)
		}
	}
}

// reserve returns an idle connection, or a channel to wait on, or neither when the caller may open a connection.
func (p *Pools) reserve(at netip.AddrPort, limit int, nonIdempotent bool) (*conn, chan *conn) {
	maxIdle := time.Hour
	if nonIdempotent {
		maxIdle = nonIdempotentIdle
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.pools[at]
	if q == nil {
		q = &pool{}
		p.pools[at] = q
	}
	now := p.timer.Now()
	for len(q.idle) > 0 {
		c := q.idle[len(q.idle)-1]
		q.idle = q.idle[:len(q.idle)-1]
		if c.reusable(now, maxIdle) {
			return c, nil
		}
		q.open--
		c.Close()
	}
	if q.open < limit {
		q.open++
		return nil, nil
	}
	wait := make(chan *conn, 1)
	q.waiting = append(q.waiting, wait)
	return nil, wait
}

// cancelWait removes a waiting request; a connection that was handed to it meanwhile goes to the next request.
func (p *Pools) cancelWait(at netip.AddrPort, wait chan *conn) {
	p.mu.Lock()
	q := p.pools[at]
	for i, w := range q.waiting {
		if w == wait {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case c := <-wait:
		if c != nil {
			p.put(at, c)
			return
		}
		p.handOver(at, nil)
	default:
	}
}

func (p *Pools) dial(ctx context.Context, at netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", at.String())
	if err != nil {
		p.discard(at, nil)
		return nil, eris.Wrapf(errNotSent, "connect to %s: %v", at, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(c), nil
}

// put returns a connection that can be reused.
func (p *Pools) put(at netip.AddrPort, c *conn) {
	c.idleSince = p.timer.Now()
	p.handOver(at, c)
}

// handOver passes a connection, or with nil the permission to open one, to the oldest waiting request.
func (p *Pools) handOver(at netip.AddrPort, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.pools[at]
	if len(q.waiting) > 0 {
		q.waiting[0] <- c
		q.waiting = q.waiting[1:]
		return
	}
	if c != nil {
		q.idle = append(q.idle, c)
	}
}

// discard closes a connection that can't be reused; nil stands for one that could not be opened.
func (p *Pools) discard(at netip.AddrPort, c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	p.pools[at].open--
	p.mu.Unlock()
	p.handOver(at, nil)
}

// sweep closes connections past their idle timeout, and all idle ones when the context ends.
func (p *Pools) sweep(ctx context.Context) {
	ticks := p.timer.Subscribe(ctx, idleSweep)
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return false })
			return
		case <-ticks:
			now := p.timer.Now()
			p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) < c.idleTimeout })
		}
	}
}

func (p *Pools) closeIdle(keep func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, q := range p.pools {
		kept := q.idle[:0]
		for _, c := range q.idle {
			if keep(c) {
				kept = append(kept, c)
				continue
			}
			q.open--
			c.Close()
		}
		q.idle = kept
		if q.open == 0 && len(q.waiting) == 0 {
			delete(p.pools, at)
		}
	}
}
