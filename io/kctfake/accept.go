package kctfake

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"kingcupturn/io/kctwire"
)

// acceptor is a listener that accepts connections up to a limit (0 for none).
type acceptor struct {
	net.Listener
	limit int
	// resetExcess resets connections above the limit; otherwise they wait in the backlog until another is closed.
	resetExcess  bool
	connectDelay time.Duration

	mu          sync.Mutex
	freed       *sync.Cond
	closed      bool
	unreachable bool
	open        map[*conn]struct{}
	total       uint64
	excess      uint64
}

func newAcceptor(l net.Listener, limit int, resetExcess bool, connectDelay time.Duration) *acceptor {
	a := &acceptor{Listener: l, limit: limit, resetExcess: resetExcess, connectDelay: connectDelay, open: map[*conn]struct{}{}}
	a.freed = sync.NewCond(&a.mu)
	return a
}

// Accept returns the next connection within the limit.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, connectDelay: a.connectDelay, onClose: a.remove}
		if a.admit(c) {
			return c, nil
		}
		c.reset()
	}
}

// admit counts a connection and waits for room above the limit; it reports false if the connection must be reset or the listener is closed.
func (a *acceptor) admit(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total++
	if a.limit > 0 && len(a.open) >= a.limit {
		a.excess++
		if a.resetExcess {
			return false
		}
	}
	for a.limit > 0 && len(a.open) >= a.limit && !a.closed {
		a.freed.Wait()
	}
	if a.closed {
		return false
	}
	c.blackholed.Store(a.unreachable)
	a.open[c] = struct{}{}
	return true
}

// remove removes a closed connection and wakes an Accept that waits for room.
func (a *acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
	a.freed.Signal()
}

// Close closes the listener and ends a waiting Accept.
func (a *acceptor) Close() error {
	a.mu.Lock()
	a.closed = true
	a.freed.Broadcast()
	a.mu.Unlock()
	return a.Listener.Close()
}

// setUnreachable sets whether new connections are blackholed; when set, the open ones are blackholed too.
func (a *acceptor) setUnreachable(unreachable bool) {
	a.mu.Lock()
	a.unreachable = unreachable
	a.mu.Unlock()
	if unreachable {
		a.blackhole()
	}
}

// blackhole blackholes the open connections.
func (a *acceptor) blackhole() {
	for _, c := range a.connections() {
		c.blackholed.Store(true)
	}
}

// connections returns the open connections.
func (a *acceptor) connections() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.open))
}

// addTo adds the numbers of arrived connections and of those above the limit to the counters.
func (a *acceptor) addTo(c *kctwire.EndpointCounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.Connections += a.total
	c.Excess += a.excess
}
