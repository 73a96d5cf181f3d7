package kctegress

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctreuse"
)

const (
	// dialTimeout limits the opening of a connection: endpoints are a few milliseconds away, so trying another endpoint is faster than waiting longer.
	dialTimeout = 300 * time.Millisecond
	// nonIdempotentIdle is the longest idle time of a connection that a non-idempotent request may use; endpoints may close older ones without notice.
	nonIdempotentIdle = 400 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	idle []*conn
	// open counts all connections, including those being opened.
	open int
	// waiting holds the attempts that wait for a connection, oldest first.
	waiting []*attempt
}

// Pools holds the connections to all endpoints by address; it is safe for concurrent use.
type Pools struct {
	client *Client
	mu     sync.Mutex
	pools  map[netip.AddrPort]*pool
	// conns holds all open connections; none may be added once closed is set.
	conns  map[*conn]struct{}
	closed bool
	// histories holds the addresses whose endpoints have sent second copies of answers; anySuspected is set once there was one.
	histories    map[netip.AddrPort]*kctreuse.History
	anySuspected atomic.Bool
	counts       Counts
	// readers counts the goroutines of connections, including those being opened.
	readers sync.WaitGroup
}

func newPools(client *Client) *Pools {
	return &Pools{client: client, pools: map[netip.AddrPort]*pool{}, conns: map[*conn]struct{}{}, histories: map[netip.AddrPort]*kctreuse.History{}}
}

// acquire starts an attempt on an idle connection, opens one within the limit, or queues the attempt until one is put back or closed; a
// non-idempotent attempt gets only recently used or new ones.
func (p *Pools) acquire(a *attempt) {
	c, dial := p.reserve(a)
	switch {
	case c != nil:
		a.start(c)
	case dial:
		p.dial(a)
	}
}

// reserve returns an idle connection, or true when the attempt may open one, or queues the attempt. A connection is used once for an identifier, since a second
// copy of the earlier answer could not be told from the attempt's own.
func (p *Pools) reserve(a *attempt) (*conn, bool) {
	maxIdle := time.Hour
	if a.options.NonIdempotent {
		maxIdle = nonIdempotentIdle
	}
	now := p.client.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.pools[a.endpoint.Address]
	if q == nil {
		q = &pool{}
		p.pools[a.endpoint.Address] = q
	}
	for i := len(q.idle) - 1; i >= 0; i-- {
		c := q.idle[i]
		idle := now.Sub(c.idleSince)
		switch {
		case idle >= maxIdle || idle >= c.idleTimeout || a.options.NonIdempotent && !c.nothingReceived():
			q.idle = slices.Delete(q.idle, i, i+1)
			// Its goroutine discards it.
			c.interrupt(nil)
		case p.suits(now, c, a):
			q.idle = slices.Delete(q.idle, i, i+1)
			c.carry(a)
			return c, false
		}
	}
	if q.open < a.options.Connections {
		q.open++
		return nil, true
	}
	q.waiting = append(q.waiting, a)
	if len(q.idle) > 0 {
		// None suits the attempt; it gets the place of the oldest.
		c := q.idle[0]
		q.idle = q.idle[1:]
		c.interrupt(nil)
	}
	return nil, false
}

// suits reports whether an attempt may use a connection that others have used; the caller holds the lock.
func (p *Pools) suits(now time.Time, c *conn, a *attempt) bool {
	return !c.hasCarried(a) && p.mayReuse(now, c.at, !a.options.NonIdempotent)
}

// mayReuse reports whether requests may use connections to an address on which others were answered; the caller holds the lock.
func (p *Pools) mayReuse(now time.Time, at netip.AddrPort, repeatable bool) bool {
	h := p.histories[at]
	return h == nil || h.MayReuse(now, repeatable)
}

// isSuspected reports whether the endpoint at an address is known for second copies.
func (p *Pools) isSuspected(at netip.AddrPort) bool {
	if !p.anySuspected.Load() {
		return false
	}
	now := p.client.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.histories[at]
	return h != nil && !h.IsOver(now)
}

// recordCopy records bytes beyond the answers that were due on a connection.
func (p *Pools) recordCopy(c *conn, change func(*Counts)) {
	p.record(c, func(h *kctreuse.History, now time.Time) {
		change(&p.counts)
		h.RecordCopy(now)
	})
}

// recordDropped records an answer that was dropped, since it may hold bytes of another one.
func (p *Pools) recordDropped(c *conn) {
	p.record(c, func(h *kctreuse.History, now time.Time) {
		if c.uses > 1 {
			h.RecordAnswer(now, true)
		} else {
			h.RecordCopy(now)
		}
	})
}

// record adds evidence to the history of a connection's address.
func (p *Pools) record(c *conn, add func(h *kctreuse.History, now time.Time)) {
	now := p.client.timer.Now()
	p.mu.Lock()
	h := p.histories[c.at]
	isNew := h == nil || h.IsOver(now)
	if isNew {
		maps.DeleteFunc(p.histories, func(_ netip.AddrPort, other *kctreuse.History) bool { return other.IsOver(now) })
		h = &kctreuse.History{}
		p.histories[c.at] = h
		p.anySuspected.Store(true)
	}
	add(h, now)
	p.mu.Unlock()
	if isNew {
		p.client.onSecondCopy(c.at)
	}
}

// withdraw removes a waiting attempt; false means that it is no longer waiting.
func (p *Pools) withdraw(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.pools[a.endpoint.Address]
	if q == nil {
		return false
	}
	i := slices.Index(q.waiting, a)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// dial opens a connection for an attempt, and reads it until it is closed.
func (p *Pools) dial(a *attempt) {
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.readers.Add(1)
	}
	p.mu.Unlock()
	if closed {
		a.finish(kctport.Response{}, eris.Wrap(errNotSent, "this entry stops"))
		return
	}
	go func() {
		defer p.readers.Done()
		c, err := p.connect(a.exchange.ctx, a.endpoint.Address)
		if err != nil {
			p.release(a.endpoint.Address)
			a.finish(kctport.Response{}, err)
			return
		}
		p.mu.Lock()
		c.carry(a)
		p.mu.Unlock()
		c.run(a)
	}()
}

// connect opens a connection.
func (p *Pools) connect(ctx context.Context, at netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", at.String())
	if err != nil {
		return nil, eris.Wrapf(errNotSent, "connect to %s: %v", at, err)
	}
	c := newConn(p.client, at, nc)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return nil, eris.Wrap(errNotSent, "this entry stops")
	}
	p.counts.Opened++
	p.conns[c] = struct{}{}
	return c, nil
}

// put makes a connection available to the oldest waiting attempt, or to a later one; answered is set when it has carried an answer since it was reserved.
func (p *Pools) put(c *conn, answered bool) {
	now := p.client.timer.Now()
	p.mu.Lock()
	if _, ok := p.conns[c]; !ok {
		p.mu.Unlock()
		return
	}
	if h := p.histories[c.at]; h != nil && answered && c.uses > 1 {
		h.RecordAnswer(now, false)
	}
	q := p.pools[c.at]
	switch {
	case len(q.waiting) > 0 && p.suits(now, c, q.waiting[0]):
		a := q.waiting[0]
		q.waiting = q.waiting[1:]
		c.carry(a)
		p.mu.Unlock()
		a.start(c)
		return
	case len(q.waiting) > 0 || !p.mayReuse(now, c.at, true):
		// Its place goes to the oldest, which needs a connection of its own.
		c.interrupt(nil)
	default:
		c.idleSince = now
		q.idle = append(q.idle, c)
	}
	p.mu.Unlock()
}

// discard removes a closed connection.
func (p *Pools) discard(c *conn) {
	p.mu.Lock()
	delete(p.conns, c)
	if q := p.pools[c.at]; q != nil {
		q.idle = slices.DeleteFunc(q.idle, func(other *conn) bool { return other == c })
	}
	p.mu.Unlock()
	p.release(c.at)
}

// release gives the place of a connection that was closed, or could not be opened, to the oldest waiting attempt.
func (p *Pools) release(at netip.AddrPort) {
	p.mu.Lock()
	q := p.pools[at]
	if len(q.waiting) == 0 {
		if q.open--; q.open == 0 {
			delete(p.pools, at)
		}
		p.mu.Unlock()
		return
	}
	a := q.waiting[0]
	q.waiting = q.waiting[1:]
	p.mu.Unlock()
	p.dial(a)
}

// close closes all connections, waits for their goroutines, and ends the attempts that wait for a connection.
func (p *Pools) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.interrupt(nil)
	}
	var waiting []*attempt
	for _, q := range p.pools {
		waiting = append(waiting, q.waiting...)
		q.waiting = nil
	}
	p.mu.Unlock()
	for _, a := range waiting {
		a.finish(kctport.Response{}, eris.Wrap(errNotSent, "this entry stops"))
	}
	p.readers.Wait()
}
