package kctpeer

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// kind determines whether a request's bytes are counted and which sentinel its failure wraps.
type kind int

const (
	// control is an idempotent control message, whose bytes are counted.
	control kind = iota
	// idempotent is a relayed part that another endpoint can run again.
	idempotent
	// nonIdempotent is a request whose failure wraps ErrUnknown, since it may have run.
	nonIdempotent
)

// exchange sends one request on its own stream and returns the reply; an error in the reply is decoded and returned.
func (m *Mesh) exchange(ctx context.Context, to kctport.Member, k kind, req *kctproto.Request) (*kctproto.Reply, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	s, err := m.session(ctx, to)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return nil, notSent(eris.Wrap(kctport.ErrTimeout, "deadline passed before the request was sent"))
	}
	req.Remaining = int64(remaining)
	b, err := encode(req)
	if err != nil {
		return nil, notSent(err)
	}
	reply, err := m.roundTrip(ctx, to, s, k, b)
	if err != nil {
		return nil, err
	}
	if len(reply.GetCodes()) > 0 || reply.GetError() != "" {
		return nil, decodeError(reply.GetCodes(), reply.GetError())
	}
	return reply, nil
}

// withDefaultDeadline adds defaultDeadline to a context without a deadline.
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

// roundTrip writes an encoded request and reads the reply; once writing has begun, a failure leaves the outcome unknown.
func (m *Mesh) roundTrip(ctx context.Context, to kctport.Member, s *session, k kind, b []byte) (*kctproto.Reply, error) {
	r := requestState{receivedBefore: s.conn.received.Load(), sent: m.timer.Now()}
	writeDone := m.closeIfBlocked(ctx, s, r)
	stream, err := s.mux.OpenStream()
	if err != nil {
		writeDone()
		m.drop(to, s)
		return nil, notSent(eris.Wrapf(err, "open stream to %s", to.ID))
	}
	defer stream.Close()
	// A deadline in the past unblocks a read or write.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, r.err = stream.Write(b)
	writeDone()
	if r.err != nil {
		return nil, m.handleFailure(ctx, to, s, k, r)
	}
	if k == control {
		m.sent.Add(uint64(len(b)))
	}
	reply := &kctproto.Reply{}
	n, err := decode(stream, reply)
	if err != nil {
		r.err = err
		return nil, m.handleFailure(ctx, to, s, k, r)
	}
	if k == control {
		m.received.Add(uint64(n))
	}
	return reply, nil
}

// closeIfBlocked closes the session when a write is still blocked blockedLimit after it began, the context has ended and nothing was received,
// because yamux bounds a blocked write by its own timeout and not by a request's deadline. The returned function is called after the write.
func (m *Mesh) closeIfBlocked(ctx context.Context, s *session, r requestState) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		waitCtx, cancel := context.WithCancel(m.base)
		defer cancel()
		select {
		case <-done:
		case <-m.timer.After(waitCtx, blockedLimit-m.timer.Now().Sub(r.sent)):
			if s.conn.received.Load() == r.receivedBefore {
				s.close()
			}
		}
	})
	return func() {
		stop()
		close(done)
	}
}

// requestState is a sent request: the bytes that the session had received before it, its start, and the error that ended it.
type requestState struct {
	err            error
	receivedBefore uint64
	sent           time.Time
}

// handleFailure retires the session of a failed request if it is closed or received nothing until the deadline, and closes it if it is
// unresponsive; the error wraps ErrUnknown for a non-idempotent request and ErrUnavailable for others.
func (m *Mesh) handleFailure(ctx context.Context, to kctport.Member, s *session, k kind, r requestState) error {
	cause := ctx.Err()
	responded := s.conn.received.Load() != r.receivedBefore
	switch {
	case s.mux.IsClosed():
		m.drop(to, s)
	case !responded && errors.Is(cause, context.DeadlineExceeded):
		m.unresponsiveCount.Add(1)
		s.recordAbandoned(r.sent, r.receivedBefore)
		m.drop(to, s)
		if s.unresponsive(m.timer.Now()) {
			s.close()
		}
	case !responded && cause != nil:
		s.recordAbandoned(r.sent, r.receivedBefore)
	}
	sentinel := kctport.ErrUnavailable
	if k == nonIdempotent {
		sentinel = kctport.ErrUnknown
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		cause = errors.Join(kctport.ErrTimeout, cause)
	}
	return eris.Wrapf(errors.Join(sentinel, cause, r.err), "no reply from %s", to.ID)
}
