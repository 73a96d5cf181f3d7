package kctrelay

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctanswer"
	"kingcupturn/io/kctmux"
	"kingcupturn/io/kctproto"
)

const (
	// dialTimeout bounds connecting to an entry; the round trip between entries takes a few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// keepAlive is the interval of probes on an open session, which detect a connection that is dead but not closed.
	keepAlive = 500 * time.Millisecond
)

var streamOptions = kctmux.Options{KeepAlive: keepAlive}

var (
	// errNotSent means that the attempt was not sent.
	errNotSent = errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable)
	// errDeclined means that the other entry makes no attempt.
	errDeclined = errors.Join(kctport.ErrDeclined, kctport.ErrNotRun)
	// errSessionLost means that the session failed after the attempt was sent, so that the endpoint may have run it.
	errSessionLost = errors.Join(kctport.ErrReset, kctport.ErrUnavailable)
)

// encodeMessage numbers a message; left is the time until its deadline.
func encodeMessage(number uint64, m *kctport.Message, left time.Duration) *kctproto.RelayMessage {
	out := &kctproto.RelayMessage{
		Number: number, Id: m.ID, Method: m.Method, Target: m.Target, Host: m.Host, Body: m.Body, Left: int64(left),
	}
	for name, values := range m.Header {
		for _, v := range values {
			out.Headers = append(out.Headers, &kctproto.RelayHeader{Name: name, Value: v})
		}
	}
	return out
}

func decodeMessage(m *kctproto.RelayMessage, now time.Time) *kctport.Message {
	out := &kctport.Message{
		ID: m.GetId(), Method: m.GetMethod(), Target: m.GetTarget(), Host: m.GetHost(), Body: m.GetBody(),
		Header: kctport.Header{}, Received: now, Deadline: now.Add(time.Duration(m.GetLeft())),
	}
	for _, h := range m.GetHeaders() {
		out.Header[h.GetName()] = append(out.Header[h.GetName()], h.GetValue())
	}
	return out
}

// encodeResult encodes the result of an attempt; on the wire refused is Response.NotRun and cold is Response.ColdRemaining; leaving and pause are
// those of Response.Notice.
func encodeResult(number uint64, r kctport.Response, err error) *kctproto.RelayResult {
	if err != nil {
		return &kctproto.RelayResult{Number: number, Failure: encodeFailure(err), Detail: strings.ToValidUTF8(err.Error(), "?")}
	}
	out := &kctproto.RelayResult{
		Number: number, Status: uint32(r.Status), Signature: r.Signature, Body: r.Body, Refused: r.NotRun, Misdirected: r.Misdirected, Cold: int64(r.ColdRemaining),
		Limit: r.RateLimit, Leaving: r.Notice.Leaving, Pause: int64(r.Notice.Pause),
	}
	if l := r.Load; l != nil {
		out.Load = []uint32{uint32(l.Running), uint32(l.Waiting), uint32(l.Slots)}
	}
	return out
}

// encodeFailure returns the code of an error; NOT_SENT stands for ErrNotRun, and an error of another kind becomes RESET.
func encodeFailure(err error) kctproto.RelayFailure {
	switch {
	case errors.Is(err, kctport.ErrDeclined):
		return kctproto.RelayFailure_RELAY_FAILURE_DECLINED
	case errors.Is(err, kctport.ErrNotRun):
		return kctproto.RelayFailure_RELAY_FAILURE_NOT_SENT
	case errors.Is(err, kctport.ErrTimeout), errors.Is(err, context.DeadlineExceeded):
		return kctproto.RelayFailure_RELAY_FAILURE_TIMEOUT
	case errors.Is(err, kctport.ErrMismatch):
		return kctproto.RelayFailure_RELAY_FAILURE_MISMATCH
	}
	return kctproto.RelayFailure_RELAY_FAILURE_RESET
}

// decodeResult is the inverse of encodeResult; a declined attempt also counts as not run.
func decodeResult(m *kctproto.RelayResult) (kctport.Response, error) {
	switch m.GetFailure() {
	case kctproto.RelayFailure_RELAY_FAILURE_NONE:
	case kctproto.RelayFailure_RELAY_FAILURE_DECLINED:
		return kctport.Response{}, eris.Wrapf(errDeclined, "relayed: %s", m.GetDetail())
	case kctproto.RelayFailure_RELAY_FAILURE_NOT_SENT:
		return kctport.Response{}, eris.Wrapf(kctport.ErrNotRun, "relayed: %s", m.GetDetail())
	case kctproto.RelayFailure_RELAY_FAILURE_TIMEOUT:
		return kctport.Response{}, eris.Wrapf(kctport.ErrTimeout, "relayed: %s", m.GetDetail())
	case kctproto.RelayFailure_RELAY_FAILURE_MISMATCH:
		return kctport.Response{}, eris.Wrapf(kctport.ErrMismatch, "relayed: %s", m.GetDetail())
	default:
		return kctport.Response{}, eris.Wrapf(kctport.ErrReset, "relayed: %s", m.GetDetail())
	}
	if !kctanswer.ValidStatus(int(m.GetStatus())) {
		return kctport.Response{}, eris.Wrapf(kctport.ErrMismatch, "relayed: status %d", m.GetStatus())
	}
	r := kctport.Response{
		Status: int(m.GetStatus()), Signature: m.GetSignature(), Body: m.GetBody(), NotRun: m.GetRefused(), Misdirected: m.GetMisdirected(),
		ColdRemaining: time.Duration(m.GetCold()), RateLimit: m.Limit,
		Notice: kctport.Notice{Leaving: m.GetLeaving(), Pause: time.Duration(m.GetPause())},
	}
	const loadNumbers = 3
	if l := m.GetLoad(); len(l) == loadNumbers {
		r.Load = &kctport.Load{Running: int(l[0]), Waiting: int(l[1]), Slots: int(l[2])}
	}
	return r, nil
}
