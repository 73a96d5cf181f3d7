package kctpeer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// session is a yamux session that this entry dialed.
type session struct {
	mux  *yamux.Session
	conn *conn
	// lastUsed is the start of the last request, waitingSince that of an abandoned request during which nothing was received, 0 for none; both
	// in Unix nanoseconds.
	lastUsed     atomic.Int64
	waitingSince atomic.Int64
	// receivedBefore is the count of received bytes at waitingSince.
	receivedBefore atomic.Uint64
	// retiredAt is when the session was retired.
	retiredAt time.Time
}

// link is the connection state of one address: a session, or a dial that all requests wait for.
type link struct {
	session *session
	dial    *dial
	// timedOut is set when the last dial timed out; while the next one runs, requests fail at once instead of waiting for it.
	timedOut bool
}

// dial is one attempt to connect; done is closed when session or err is set.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

func (s *session) close() {
	s.mux.Close()
}

// unresponsive reports whether nothing was received within unresponsiveLimit of the start of an abandoned request.
func (s *session) unresponsive(now time.Time) bool {
	since := s.waitingSince.Load()
	return since != 0 && s.conn.received.Load() == s.receivedBefore.Load() && now.UnixNano()-since >= int64(unresponsiveLimit)
}

// recordAbandoned records a request that was abandoned while nothing was received; an earlier one still waiting takes precedence.
func (s *session) recordAbandoned(sent time.Time, receivedBefore uint64) {
	if s.waitingSince.Load() == 0 || s.conn.received.Load() != s.receivedBefore.Load() {
		s.receivedBefore.Store(receivedBefore)
		s.waitingSince.Store(sent.UnixNano())
	}
}

// session returns a usable session to a member and dials if there is none; an error wraps ErrNotRun, since nothing was sent.
func (m *Mesh) session(ctx context.Context, to kctport.Member) (*session, error) {
	now := m.timer.Now()
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, notSent(eris.New("mesh is closed"))
	}
	l := m.links[to.Peer]
	if l == nil {
		l = &link{}
		m.links[to.Peer] = l
	}
	if s := l.session; s != nil && (s.mux.IsClosed() || s.unresponsive(now)) {
		l.session = nil
		m.retire(s, now)
		defer m.sessionFailed(to.ID)
	}
	if s := l.session; s != nil {
		s.lastUsed.Store(now.UnixNano())
		m.mu.Unlock()
		return s, nil
	}
	if l.dial == nil {
		l.dial = &dial{done: make(chan struct{})}
		m.wait.Add(1)
		go m.connect(to, l, l.dial)
	}
	d, timedOut := l.dial, l.timedOut
	m.mu.Unlock()
	if timedOut {
		return nil, notSent(eris.Errorf("%s did not answer the last connection", to.ID))
	}
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, notSent(eris.Wrapf(ctx.Err(), "connect to %s", to.ID))
	}
}

// connect dials a member once for all waiting requests.
func (m *Mesh) connect(to kctport.Member, l *link, d *dial) {
	defer m.wait.Done()
	defer close(d.done)
	ctx, cancel := context.WithTimeout(m.base, dialTimeout)
	defer cancel()
	m.dials.Add(1)
	s, err := dialSession(ctx, to)
	timedOut := err != nil && ctx.Err() != nil
	if err != nil {
		d.err = notSent(eris.Wrapf(err, "connect to %s at %s", to.ID, to.Peer))
		defer m.sessionFailed(to.ID)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l.dial, l.timedOut = nil, timedOut
	if err != nil {
		return
	}
	if m.closed {
		s.close()
		d.err = notSent(eris.New("mesh is closed"))
		return
	}
	s.lastUsed.Store(m.timer.Now().UnixNano())
	d.session, l.session = s, s
}

// dialSession connects and waits for the reply to a ping, since the kernel accepts connections for a paused process.
func dialSession(ctx context.Context, to kctport.Member) (*session, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", to.Peer.String())
	if err != nil {
		return nil, err
	}
	s := &session{conn: &conn{Conn: c}}
	if s.mux, err = yamux.Client(s.conn, muxConfig()); err != nil {
		c.Close()
		return nil, err
	}
	stopped := context.AfterFunc(ctx, s.close)
	_, err = s.mux.Ping()
	if !stopped() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		s.close()
		return nil, eris.Wrap(err, "no answer on a new connection")
	}
	return s, nil
}

// drop takes a session out of use; requests in progress on it may still complete.
func (m *Mesh) drop(to kctport.Member, s *session) {
	m.mu.Lock()
	l := m.links[to.Peer]
	current := l != nil && l.session == s
	if current {
		l.session = nil
		m.retire(s, m.timer.Now())
	}
	m.mu.Unlock()
	if current {
		m.sessionFailed(to.ID)
	}
}

// retire marks a session for sweep to close; the caller holds the lock.
func (m *Mesh) retire(s *session, now time.Time) {
	s.retiredAt = now
	m.retiring = append(m.retiring, s)
}

// sweep closes idle sessions, and retired ones that have no requests left, are unresponsive or were retired longer than defaultGrace ago.
func (m *Mesh) sweep(now time.Time) {
	var ended []*session
	m.mu.Lock()
	for addr, l := range m.links {
		if s := l.session; s != nil && s.mux.NumStreams() == 0 && now.UnixNano()-s.lastUsed.Load() > int64(dialedIdleLimit) {
			ended = append(ended, s)
			l.session = nil
		}
		if l.session == nil && l.dial == nil {
			delete(m.links, addr)
		}
	}
	keep := m.retiring[:0]
	for _, s := range m.retiring {
		if s.mux.IsClosed() || s.mux.NumStreams() == 0 || s.unresponsive(now) || now.Sub(s.retiredAt) > defaultGrace {
			ended = append(ended, s)
		} else {
			keep = append(keep, s)
		}
	}
	m.retiring = keep
	m.mu.Unlock()
	for _, s := range ended {
		s.close()
	}
}

// notSent wraps the error of a request of which nothing was sent in ErrNotRun and ErrUnavailable.
func notSent(err error) error {
	return eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable, err), "request not sent")
}
