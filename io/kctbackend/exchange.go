package kctbackend

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctbody"
)

// request is what an exchange sends.
type request struct {
	// id is the identifier that the reply has to repeat.
	id           string
	method, path string
	body         []byte
}

// exchange is one HTTP request on one connection, with the state that shows whether any byte of it was written.
type exchange struct {
	request
	pool   *pool
	sent   time.Time
	conn   *conn
	reused bool
	// writtenBefore is the number of bytes written on the connection before the request.
	writtenBefore int64
	// replyStarted is set when the first byte of a reply arrives.
	replyStarted atomic.Bool
}

// response is a complete reply, not yet checked.
type response struct {
	status int
	body   []byte
}

// errUnwritten means that no byte of the request was written on a reused connection, since it was closed or had a left-over reply.
var errUnwritten = errors.New("reused connection was closed")

// exchange sends a request and passes the reply to check; if check returns ErrMismatch, the connection is closed.
// If a reused connection fails before any byte was written, the request goes to another one, which is not a resend.
// Each such failure closes an idle connection, so the connection limit bounds the number of repetitions.
func (p *pool) exchange(ctx context.Context, r request, check func(response) error) error {
	var err error
	for range p.connections + 1 {
		x := &exchange{request: r, pool: p, sent: p.timer.Now()}
		err = x.run(ctx, check)
		if !errors.Is(err, errUnwritten) {
			return err
		}
	}
	return err
}

func (x *exchange) run(ctx context.Context, check func(response) error) error {
	r, err := x.newRequest(ctx)
	if err != nil {
		return err
	}
	res, err := x.pool.transport.RoundTrip(r)
	if err != nil {
		return x.noReplyError(ctx, err)
	}
	defer res.Body.Close()
	if !x.conn.beginCheck(x.writtenBefore) {
		x.conn.discard()
		x.conn.endRequest()
		return x.dropped(unwrittenError(eris.New("a reply came before the request was written")))
	}
	defer x.conn.endRequest()
	if err := x.conn.checkStatusLine(); err != nil {
		x.conn.discard()
		return x.dropped(eris.Wrap(errors.Join(kctport.ErrUnknown, kctport.ErrMismatch), err.Error()))
	}
	data, err := x.pool.bodies.Read(res.Body, maxReplyBytes)
	if err != nil {
		return x.readError(ctx, err)
	}
	err = check(response{status: res.StatusCode, body: data})
	mismatch := errors.Is(err, kctport.ErrMismatch)
	if mismatch || !x.pool.keepAlive() {
		x.conn.discard()
	}
	if mismatch {
		return x.dropped(err)
	}
	return err
}

// dropped reports the error of a reply that is not passed on and returns it, with the connection and the first bytes.
func (x *exchange) dropped(err error) error {
	err = eris.Wrap(err, x.conn.received())
	x.pool.reportDropped(x.pool.endpoint, x.id, err)
	return err
}

// newRequest builds the HTTP request. net/http resends a request automatically when GetBody is set and nothing was
// written, or when the request counts as idempotent; without GetBody a POST is never resent.
func (x *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				x.conn, x.reused, x.writtenBefore = c, i.Reused, c.beginRequest()
			}
		},
		GotFirstResponseByte: func() { x.replyStarted.Store(true) },
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, "http://"+x.pool.address.String()+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrInvalid), err.Error())
	}
	if len(x.body) == 0 {
		r.Body = http.NoBody
	}
	r.GetBody = nil
	return r, nil
}

// noReplyError classifies a request that got no reply. It stops the writes first, so that nothing is sent after the count is read.
func (x *exchange) noReplyError(ctx context.Context, err error) error {
	if x.conn == nil {
		return x.unsentError(ctx, err)
	}
	written := x.conn.stopWrites(x.writtenBefore)
	x.conn.discard()
	if !written {
		if x.reused && ctx.Err() == nil {
			return unwrittenError(err)
		}
		return x.unsentError(ctx, err)
	}
	kind := kctport.ErrReset
	switch {
	case isTimeout(ctx, err):
		kind = kctport.ErrTimeout
		if !x.replyStarted.Load() {
			x.pool.closeIdleOpenedBefore(x.sent)
		}
	case ctx.Err() != nil:
		kind = context.Canceled
	case x.replyStarted.Load():
		kind = kctport.ErrMismatch
	}
	err = eris.Wrapf(errors.Join(kctport.ErrUnknown, kind), "endpoint %s: %s", x.pool.address, kctbody.ErrorText(err))
	if x.replyStarted.Load() && kind != context.Canceled {
		return x.dropped(err)
	}
	return err
}

// unwrittenError is the error of a request that may be sent on another connection.
func unwrittenError(err error) error {
	return eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable, errUnwritten), kctbody.ErrorText(err))
}

// unsentError classifies a request of which no byte was written.
func (x *exchange) unsentError(ctx context.Context, err error) error {
	kind := kctport.ErrUnavailable
	switch {
	case isTimeout(ctx, err):
		kind = kctport.ErrTimeout
	case ctx.Err() != nil:
		kind = context.Canceled
	}
	return eris.Wrapf(errors.Join(kctport.ErrNotRun, kind), "endpoint %s: %s", x.pool.address, kctbody.ErrorText(err))
}

// readError classifies a reply whose body could not be read to its end.
func (x *exchange) readError(ctx context.Context, err error) error {
	x.conn.discard()
	kind := kctport.ErrMismatch
	switch {
	case isTimeout(ctx, err):
		kind = kctport.ErrTimeout
	case ctx.Err() != nil:
		kind = context.Canceled
	}
	err = eris.Wrapf(errors.Join(kctport.ErrUnknown, kind), "endpoint %s: reply: %s", x.pool.address, kctbody.ErrorText(err))
	if kind == context.Canceled {
		return err
	}
	return x.dropped(err)
}

func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
