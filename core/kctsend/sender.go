package kctsend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctlimit"
)

// Suspects records attempts by body, to quarantine bodies that crash endpoints.
type Suspects interface {
	// Admit records that the body is about to be sent to the endpoint; an error refuses it and wraps ErrNotRun.
	Admit(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint) error
	// Finish records the outcome of an admitted attempt.
	Finish(endpoint kctport.InstanceID, fingerprint kctport.Fingerprint, err error)
}

// Sender sends attempts; it is safe for concurrent use.
type Sender struct {
	self     kctport.InstanceID
	timer    kctport.Timer
	backend  kctport.Backend
	peers    kctport.Peers
	gates    *kctlimit.Gates
	observer kctport.Observer
	checker  kctport.Checker
	suspects Suspects

	outstanding outstanding
	returnTimes returnTimes
}

// Option changes a Sender at construction.
type Option func(*Sender)

// WithSuspects checks each body against quarantine before it is sent.
func WithSuspects(s Suspects) Option {
	return func(sender *Sender) { sender.suspects = s }
}

// New returns a Sender for the entry self; observer may be nil.
func New(self kctport.InstanceID, timer kctport.Timer, backend kctport.Backend, peers kctport.Peers,
	gates *kctlimit.Gates, observer kctport.Observer, checker kctport.Checker, opts ...Option,
) *Sender {
	sender := &Sender{
		self: self, timer: timer, backend: backend, peers: peers,
		gates: gates, observer: observer, checker: checker,
	}
	for _, o := range opts {
		o(sender)
	}
	return sender
}

// InFlight returns the number of this entry's attempts at an endpoint without a result, queued and relayed ones included.
func (s *Sender) InFlight(id kctport.InstanceID) int {
	return s.outstanding.count(id)
}

// Send implements kctport.Sender.
func (s *Sender) Send(ctx context.Context, view *kctport.View, call kctport.PartCall) (kctport.PartReply, error) {
	r := view.Replica(call.Part.Service, call.Endpoint)
	if r == nil {
		return kctport.PartReply{}, refuse(kctport.ErrNoEndpoint, "endpoint %s", call.Endpoint)
	}
	s.outstanding.add(r.ID, 1)
	defer s.outstanding.add(r.ID, -1)
	var reply kctport.PartReply
	var err error
	if s.owns(r) {
		reply, err = s.sendLocal(ctx, view, r, call, kctport.PathDirect)
	} else {
		reply, err = s.sendRelayed(ctx, view, r, call)
	}
	if err != nil {
		return kctport.PartReply{}, err
	}
	return reply, s.checkReply(call, reply)
}

// Handle makes an attempt that another entry relayed; it returns ErrNotOwner if this entry does not own the endpoint.
func (s *Sender) Handle(ctx context.Context, view *kctport.View, call kctport.PartCall) (kctport.PartReply, error) {
	r := view.Replica(call.Part.Service, call.Endpoint)
	if r == nil || !s.owns(r) {
		return kctport.PartReply{}, refuse(kctport.ErrNotOwner, "endpoint %s", call.Endpoint)
	}
	return s.sendLocal(ctx, view, r, call, kctport.PathServed)
}

func (s *Sender) owns(r *kctport.Replica) bool {
	return r.Owner == s.self
}

// sendLocal sends to an endpoint that this entry owns, through its gate.
func (s *Sender) sendLocal(ctx context.Context, view *kctport.View, r *kctport.Replica, call kctport.PartCall, path kctport.AttemptPath) (kctport.PartReply, error) {
	permit, err := s.gates.Gate(view, r).Acquire(ctx, call)
	if err != nil {
		return kctport.PartReply{}, err
	}
	start := s.timer.Now()
	if err := s.checkBeforeSend(view, r, call, start); err != nil {
		// Nothing was sent, so the gate gets ErrNotRun instead of the refusal, which it could count as one by the endpoint.
		permit.Done(0, kctport.ErrNotRun)
		return kctport.PartReply{}, err
	}
	reply, err := s.backend.Call(ctx, r.Endpoint, call)
	end := s.timer.Now()
	if err == nil {
		err = mismatch(call, reply)
	}
	reply.Latency = end.Sub(start)
	permit.Done(reply.Latency, err)
	if s.suspects != nil {
		s.suspects.Finish(r.ID, call.Fingerprint, err)
	}
	s.observe(r, call, reply.Latency, err, end, path)
	if err != nil {
		return kctport.PartReply{}, err
	}
	return reply, nil
}

// checkBeforeSend returns an error for an expired view or a quarantined body.
func (s *Sender) checkBeforeSend(view *kctport.View, r *kctport.Replica, call kctport.PartCall, now time.Time) error {
	if !view.Fresh(now) {
		return refuse(kctport.ErrUnavailable, "view expired %s ago", now.Sub(view.Expires))
	}
	if s.suspects == nil {
		return nil
	}
	return s.suspects.Admit(r.ID, call.Fingerprint)
}

// sendRelayed sends through the owner of the endpoint, with a deadline that leaves time for the reply from the owner.
func (s *Sender) sendRelayed(ctx context.Context, view *kctport.View, r *kctport.Replica, call kctport.PartCall) (kctport.PartReply, error) {
	owner, ok := view.Members[r.Owner]
	if !ok || !owner.Alive() {
		return kctport.PartReply{}, refuse(kctport.ErrUnavailable, "owner %q of endpoint %s", r.Owner, r.ID)
	}
	start := s.timer.Now()
	if !view.Fresh(start) {
		return kctport.PartReply{}, refuse(kctport.ErrUnavailable, "view expired %s ago", start.Sub(view.Expires))
	}
	relayed := call
	if !call.Deadline.IsZero() {
		relayed.Deadline = call.Deadline.Add(-s.returnTimes.estimate(owner.ID))
	}
	reply, err := s.peers.Relay(ctx, owner, relayed)
	end := s.timer.Now()
	if err == nil {
		err = mismatch(call, reply)
	}
	if err != nil {
		if concernsEndpoint(err) {
			s.observe(r, call, end.Sub(start), err, end, kctport.PathRelayed)
		}
		return kctport.PartReply{}, err
	}
	s.returnTimes.add(owner.ID, end.Sub(start)-reply.Latency)
	s.observe(r, call, reply.Latency, nil, end, kctport.PathRelayed)
	return reply, nil
}

// observe reports the outcome of an attempt to the observer.
func (s *Sender) observe(r *kctport.Replica, call kctport.PartCall, latency time.Duration, err error, at time.Time, path kctport.AttemptPath) {
	if s.observer == nil {
		return
	}
	s.observer.Observe(kctport.Observation{
		Endpoint: r.ID, Service: r.Service, Version: r.Version, Route: call.Route, Latency: latency, Err: err, At: at, Path: path,
	})
}

// concernsEndpoint reports whether a relay error is evidence about the endpoint rather than about its owner. A timeout
// counts, since the endpoint is scored with the path through its owner, and so does a shed by the endpoint or its gate.
func concernsEndpoint(err error) bool {
	if errors.Is(err, kctport.ErrNotRun) {
		return errors.Is(err, kctport.ErrShed)
	}
	return !errors.Is(err, kctport.ErrUnavailable) || errors.Is(err, kctport.ErrTimeout) || errors.Is(err, context.Canceled)
}

// checkReply returns an error and reports an invariant violation when a reply about to be merged does not belong to the call.
func (s *Sender) checkReply(call kctport.PartCall, reply kctport.PartReply) error {
	err := mismatch(call, reply)
	if err != nil {
		s.checker.Check(false, "reply belongs to its request", err.Error())
	}
	return err
}

// mismatch returns an error that wraps ErrMismatch when the reply does not belong to the call, nil otherwise.
func mismatch(call kctport.PartCall, reply kctport.PartReply) error {
	if reply.Request == call.Request && reply.Part == call.Part && reply.Snapshot == call.Snapshot && reply.Shards == call.Shards {
		return nil
	}
	return eris.Wrapf(kctport.ErrMismatch, "request %s, part %s, snapshot %d, shards %d got request %s, part %s, snapshot %d, shards %d",
		call.Request, call.Part, call.Snapshot, call.Shards, reply.Request, reply.Part, reply.Snapshot, reply.Shards)
}

// refuse returns an error that wraps the sentinel and ErrNotRun.
func refuse(sentinel error, format string, args ...any) error {
	return eris.Wrap(errors.Join(sentinel, kctport.ErrNotRun), fmt.Sprintf(format, args...))
}
