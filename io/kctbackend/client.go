package kctbackend

import (
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	// defaultConnections bounds the connections to one endpoint; the smallest limit in use is about 30.
	defaultConnections = 30
	// defaultStatusTimeout bounds a status call; a cold start must be detected within 1 s.
	defaultStatusTimeout = time.Second
	// defaultDialTimeout bounds the opening of a connection, whose normal cost is 1 to 6 ms.
	defaultDialTimeout = time.Second
	// defaultIdle closes unused connections.
	defaultIdle = 60 * time.Second
	// maxReply bounds a reply body, so that a faulty endpoint cannot exhaust memory.
	maxReply = 4 << 20
)

// Client sends requests to endpoints; it is safe for concurrent use.
type Client struct {
	timer       kctport.Timer
	connections int
	status      time.Duration
	dial        time.Duration
	back        time.Duration

	mu    sync.Mutex
	links map[kctport.InstanceID]*link
}

var _ kctport.Backend = (*Client)(nil)

// Option sets up a Client.
type Option func(*Client)

// WithConnections sets the limit of connections to one endpoint; the endpoint's own limit applies when it is lower.
func WithConnections(limit int) Option {
	return func(c *Client) { c.connections = limit }
}

// WithStatusTimeout sets the longest time of a status call.
func WithStatusTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.status = timeout }
}

// WithDialTimeout sets the longest time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.dial = timeout }
}

// WithReturnReserve sets the time of the way back, by which the deadline that an endpoint is told lies before the caller's.
func WithReturnReserve(back time.Duration) Option {
	return func(c *Client) { c.back = back }
}

// New returns a client of endpoints.
func New(timer kctport.Timer, opts ...Option) *Client {
	c := &Client{
		timer:       timer,
		connections: defaultConnections,
		status:      defaultStatusTimeout,
		dial:        defaultDialTimeout,
		links:       map[kctport.InstanceID]*link{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// link returns the connections to the endpoint; a new address replaces them.
func (c *Client) link(e kctport.Endpoint) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[e.ID]; ok && l.address == e.Address {
		return l
	}
	return c.replace(e, c.connections)
}

// replace closes the link of an endpoint and returns a new one; the caller holds the lock.
func (c *Client) replace(e kctport.Endpoint, connections int) *link {
	if l, ok := c.links[e.ID]; ok {
		l.close()
	}
	l := newLink(c.timer, e.Address, connections, c.dial)
	c.links[e.ID] = l
	return l
}

// adopt lowers the limit of connections to the one that an endpoint reports. A higher report is ignored, since
// a status may mislead. Normally the first status call on a new link does this, before any part was sent.
func (c *Client) adopt(e kctport.Endpoint, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[e.ID]; ok && l.address == e.Address && limit > 0 && limit < l.connections {
		c.replace(e, limit)
	}
}

// Disconnect closes the connections to an endpoint that is no longer owned; requests in flight end first.
func (c *Client) Disconnect(id kctport.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[id]; ok {
		l.close()
		delete(c.links, id)
	}
}

// Close closes the idle connections to all endpoints.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.close()
	}
	clear(c.links)
}
