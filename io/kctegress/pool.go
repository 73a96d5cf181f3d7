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
	// dialTimeout bounds a new connection: endpoints are a few milliseconds away, and a second endpoint is better than a long wait.
	dialTimeout = 300 * time.Millisecond
	// idleSweep is how often connections that were idle for too long are closed.
	idleSweep = 2 * time.Second
	// onceIdle is how long a connection may have been idle before a request that can't be repeated; endpoints may drop older ones without notice.
	onceIdle = 400 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	idle []*conn
	// open counts all connections, also those that are being opened.
	open int
	// waiting are requests that found all connections in use, the oldest first.
	waiting []chan *conn
}

// Pools holds the connections to all endpoints; it is safe for concurrent use.
type Pools struct {
	timer kctport.Timer
	mu    sync.Mutex
	pools map[netip.AddrPort]*pool
	// opened counts new connections since the start.
	opened uint64
}

func newPools(timer kctport.Timer) *Pools {
	return &Pools{timer: timer, pools: map[netip.AddrPort]*pool{}}
}

// take returns an idle connection, opens one within the limit or waits for one that is put back; fresh asks for one that was used just now.
// An error means that nothing was sent.
func (p *Pools) take(ctx context.Context, at netip.AddrPort, limit int, fresh bool) (*conn, error) {
	for {
		c, wait := p.reserve(at, limit, fresh)
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
			// A connection was closed, so that another one may be opened.
		case <-ctx.Done():
			p.unwait(at, wait)
			return nil, eris.Wrapf(errNotSent, "no free connection to %s", at)
		}
	}
}

// reserve returns an idle connection, or a channel to wait on; neither means that the caller may open one.
func (p *Pools) reserve(at netip.AddrPort, limit int, fresh bool) (*conn, chan *conn) {
	within := time.Hour
	if fresh {
		within = onceIdle
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
		if c.reusable(now, within) {
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

// unwait withdraws a waiting request; a connection that was handed over meanwhile goes to the next one.
func (p *Pools) unwait(at netip.AddrPort, wait chan *conn) {
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
		p.hand(at, nil)
	default:
	}
}

func (p *Pools) dial(ctx context.Context, at netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", at.String())
	if err != nil {
		p.drop(at, nil)
		return nil, eris.Wrapf(errNotSent, "connect to %s: %v", at, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(c), nil
}

// put gives a connection back after a complete answer.
func (p *Pools) put(at netip.AddrPort, c *conn) {
	c.idleSince = p.timer.Now()
	p.hand(at, c)
}

// hand passes a connection, or with nil the right to open one, to the oldest waiting request.
func (p *Pools) hand(at netip.AddrPort, c *conn) {
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

// drop closes a connection that can't be used again; nil stands for one that could not be opened.
func (p *Pools) drop(at netip.AddrPort, c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	p.pools[at].open--
	p.mu.Unlock()
	p.hand(at, nil)
}

// Sweep closes connections that were idle for too long, until the context ends.
func (p *Pools) sweep(ctx context.Context) {
	ticks := p.timer.Subscribe(ctx, idleSweep)
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return false })
			return
		case <-ticks:
			now := p.timer.Now()
			p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) < c.keep })
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
