package kctpeer

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// Probe sends a probe of the failure detector and returns the reply.
func (m *Mesh) Probe(ctx context.Context, to kctport.Member, probe kctport.Probe) (kctport.ProbeReply, error) {
	reply, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Probe{Probe: fromProbe(probe)}})
	if err != nil {
		return kctport.ProbeReply{}, err
	}
	return toProbeReply(reply.GetProbe()), nil
}

// Relay sends an attempt to the owner of its endpoint; the earlier of the call's and the context's deadline applies.
func (m *Mesh) Relay(ctx context.Context, to kctport.Member, call kctport.PartCall) (kctport.PartReply, error) {
	ctx, cancel := m.withDeadline(ctx, call.Deadline)
	defer cancel()
	k := idempotent
	if call.Key != "" {
		k = nonIdempotent
	}
	reply, err := m.exchange(ctx, to, k, &kctproto.Request{Body: &kctproto.Request_Relay{Relay: fromCall(call)}})
	if err != nil {
		return kctport.PartReply{}, err
	}
	if reply.GetRelay() == nil {
		return kctport.PartReply{}, eris.Wrapf(kctport.ErrMismatch, "reply from %s is not one to a relay", to.ID)
	}
	return toPart(reply.GetRelay()), nil
}

// Forward sends a non-idempotent request to the entry that issued its key; an error wraps ErrNotRun or ErrUnknown unless that entry returned it.
func (m *Mesh) Forward(ctx context.Context, to kctport.Member, execution kctport.Execution) (kctport.Result, error) {
	ctx, cancel := m.withDeadline(ctx, execution.Deadline)
	defer cancel()
	reply, err := m.exchange(ctx, to, nonIdempotent, &kctproto.Request{Body: &kctproto.Request_Forward{Forward: fromExecution(execution)}})
	if err != nil {
		return kctport.Result{}, err
	}
	if reply.GetForward() == nil {
		err := errors.Join(kctport.ErrUnknown, kctport.ErrMismatch)
		return kctport.Result{}, eris.Wrapf(err, "reply from %s is not one to a forward", to.ID)
	}
	return toResult(reply.GetForward()), nil
}

// Push sends a configuration and returns the revision in force at the other entry afterwards.
func (m *Mesh) Push(ctx context.Context, to kctport.Member, config kctport.Config) (kctport.Revision, error) {
	document, err := m.codec.pack(config)
	if err != nil {
		return 0, notSent(err)
	}
	reply, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Push{Push: document}})
	if err != nil {
		return 0, err
	}
	return kctport.Revision(reply.GetPush()), nil
}

// Pull returns the configuration in force at another entry.
func (m *Mesh) Pull(ctx context.Context, to kctport.Member) (kctport.Config, error) {
	reply, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Pull{Pull: &kctproto.Empty{}}})
	if err != nil {
		return kctport.Config{}, err
	}
	return m.codec.unpack(reply.GetPull())
}

// Suspect sends suspicions of bodies that may crash endpoints.
func (m *Mesh) Suspect(ctx context.Context, to kctport.Member, suspicions []kctport.Suspicion) error {
	body := &kctproto.Suspicions{Suspicions: convertAll(suspicions, fromSuspicion)}
	_, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Suspect{Suspect: body}})
	return err
}

// Report sends evidence about version moves.
func (m *Mesh) Report(ctx context.Context, to kctport.Member, reports []kctport.MoveReport) error {
	body := &kctproto.Reports{Reports: convertAll(reports, fromReport)}
	_, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Report{Report: body}})
	return err
}

// Release notifies the next owner of endpoints that this entry has no more requests in flight there.
func (m *Mesh) Release(ctx context.Context, to kctport.Member, release kctport.Release) error {
	_, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Release{Release: fromRelease(release)}})
	return err
}

// Share sends reports about endpoints that this entry owns.
func (m *Mesh) Share(ctx context.Context, to kctport.Member, reports []kctport.EndpointReport) error {
	body := &kctproto.Shares{Shares: convertAll(reports, fromShare)}
	_, err := m.exchange(ctx, to, control, &kctproto.Request{Body: &kctproto.Request_Share{Share: body}})
	return err
}

// withDeadline adds a deadline of the timer's clock to a context, unless it is zero.
func (m *Mesh) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline.Sub(m.timer.Now()))
}

// pack encodes a configuration as a message.
func (c codec) pack(config kctport.Config) (*kctproto.Document, error) {
	if c.encode == nil {
		return nil, eris.Wrap(kctport.ErrInvalid, "no configuration codec is set")
	}
	b, err := c.encode(config)
	if err != nil {
		return nil, err
	}
	return &kctproto.Document{Json: b}, nil
}

// unpack decodes a configuration from a message.
func (c codec) unpack(d *kctproto.Document) (kctport.Config, error) {
	if c.decode == nil {
		return kctport.Config{}, eris.Wrap(kctport.ErrInvalid, "no configuration codec is set")
	}
	return c.decode(d.GetJson())
}
