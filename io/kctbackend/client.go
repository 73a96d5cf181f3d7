package kctbackend

import (
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbody"
)

const (
	// defaultConnections bounds the connections to one endpoint; the smallest limit in use is about 30.
	defaultConnections = 30
	// defaultStatusTimeout bounds a status call; cold starts have to be detected within 1 s.
	defaultStatusTimeout = time.Second
	// defaultDialTimeout bounds the opening of a connection, which normally takes 1 to 6 ms.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is the time after which an unused connection is closed.
	defaultIdleTimeout = 60 * time.Second
	// maxReplyBytes bounds a reply body, so that a faulty endpoint cannot exhaust the memory.
	maxReplyBytes = 4 << 20
	// maxReplyHead bounds a reply's head, in bytes.
	maxReplyHead = 64 << 10
)

// Client sends requests to endpoints; it is safe for concurrent use.
type Client struct {
	timer kctport.Timer
	// connections is the connection limit of a new pool.
	connections int
	// status and dial bound a status call and the opening of a connection.
	status        time.Duration
	dial          time.Duration
	returnReserve time.Duration
	// reportDropped is called for each reply that is not passed on.
	reportDropped func(endpoint kctport.InstanceID, request string, err error)
	// checks counts the status calls.
	checks atomic.Uint64

	bodies kctbody.Reader

	mu    sync.Mutex
	pools map[kctport.InstanceID]*pool
}

var _ kctport.Backend = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithConnections limits the connections to one endpoint; the endpoint's own limit applies when it is lower.
func WithConnections(limit int) Option {
	return func(c *Client) { c.connections = limit }
}

// WithStatusTimeout bounds a status call.
func WithStatusTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.status = timeout }
}

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.dial = timeout }
}

// WithReturnReserve sets how much earlier than the caller's deadline the one sent to an endpoint is, to leave time for its reply.
func WithReturnReserve(returnReserve time.Duration) Option {
	return func(c *Client) { c.returnReserve = returnReserve }
}

// WithDropped sets the function that is called for each reply that is not passed on, since it belongs to no request or another one, can't be read or broke off;
// the error names the connection and the first bytes.
func WithDropped(f func(endpoint kctport.InstanceID, request string, err error)) Option {
	return func(c *Client) { c.reportDropped = f }
}

// New returns a client without connections.
func New(timer kctport.Timer, opts ...Option) *Client {
	c := &Client{
		timer:       timer,
		connections: defaultConnections,
		status:      defaultStatusTimeout,
		dial:        defaultDialTimeout,
		pools:       map[kctport.InstanceID]*pool{},

		reportDropped: func(kctport.InstanceID, string, error) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// pool returns the endpoint's connection pool, which is replaced when the endpoint's address has changed.
func (c *Client) pool(e kctport.Endpoint) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[e.ID]; ok && p.address == e.Address {
		return p
	}
	return c.replace(e, c.connections)
}

// replace closes the pool of an endpoint and returns a new one; mu has to be held.
func (c *Client) replace(e kctport.Endpoint, connections int) *pool {
	if p, ok := c.pools[e.ID]; ok {
		p.close()
	}
	p := newPool(c, e, connections)
	c.pools[e.ID] = p
	return p
}

// lowerLimit lowers the connection limit to the one that an endpoint reports. A higher report is ignored, since a status
// may be wrong. Normally the first status call on a new pool does this, before any part was sent.
func (c *Client) lowerLimit(e kctport.Endpoint, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[e.ID]; ok && p.address == e.Address && limit > 0 && limit < p.connections {
		c.replace(e, limit)
	}
}

// Disconnect closes the connections to an endpoint that is no longer owned; requests in flight end first.
func (c *Client) Disconnect(id kctport.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[id]; ok {
		p.close()
		delete(c.pools, id)
	}
}

// Close closes the idle connections to all endpoints.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
	clear(c.pools)
}
