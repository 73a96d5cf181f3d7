package kctentry

import (
	"context"

	kctport "kingcupturn"
	"kingcupturn/core/kctcontrol"
)

// peerHandler handles the requests of other entries.
type peerHandler struct {
	entry *Entry
}

// HandleProbe answers a probe of this entry, or probes another target for the sender.
func (h *peerHandler) HandleProbe(ctx context.Context, probe kctport.Probe) (kctport.ProbeReply, error) {
	if probe.Target != "" && probe.Target != h.entry.self.ID {
		return h.indirect(ctx, probe)
	}
	return h.entry.control.Probe(ctx, probe)
}

// indirect probes the target on behalf of a member that can't reach it.
func (h *peerHandler) indirect(ctx context.Context, probe kctport.Probe) (kctport.ProbeReply, error) {
	send, ok := h.entry.control.Indirect(ctx, probe)
	if !ok {
		return kctport.ProbeReply{}, kctport.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, send.Timeout)
	defer cancel()
	return h.entry.mesh.Probe(ctx, send.To, send.Probe)
}

// HandleRelay makes a part call to an endpoint that this entry owns.
func (h *peerHandler) HandleRelay(ctx context.Context, call kctport.PartCall) (kctport.PartReply, error) {
	view, err := h.entry.control.Wait(ctx)
	if err != nil {
		return kctport.PartReply{}, err
	}
	return h.entry.sender.Handle(ctx, view, call)
}

// HandleForward runs a non-idempotent request whose key this entry issued.
func (h *peerHandler) HandleForward(ctx context.Context, execution kctport.Execution) (kctport.Result, error) {
	return h.entry.keys.Run(ctx, execution, h.entry.engine.Execute)
}

// HandlePush adopts a newer configuration and returns the revision in force afterwards.
func (h *peerHandler) HandlePush(ctx context.Context, config kctport.Config) (kctport.Revision, error) {
	return h.entry.control.Push(ctx, config)
}

// HandlePull returns the configuration in force with a trimmed history.
func (h *peerHandler) HandlePull(ctx context.Context) (kctport.Config, error) {
	config, err := h.entry.control.Config(ctx)
	return kctcontrol.TrimHistory(config), err
}

// HandleSuspect merges a peer's suspicions of bodies that crash endpoints.
func (h *peerHandler) HandleSuspect(_ context.Context, suspicions []kctport.Suspicion) error {
	h.entry.suspects.Merge(suspicions)
	return nil
}

// HandleReport records a peer's evidence about a version move.
func (h *peerHandler) HandleReport(ctx context.Context, reports []kctport.MoveReport) error {
	return h.entry.control.Report(ctx, reports)
}

// HandleShare records an owner's reports about its endpoints.
func (h *peerHandler) HandleShare(ctx context.Context, reports []kctport.EndpointReport) error {
	return h.entry.control.Share(ctx, reports)
}

// HandleRelease ends the handover of endpoints whose previous owner has no more requests in flight there.
func (h *peerHandler) HandleRelease(ctx context.Context, release kctport.Release) error {
	return h.entry.control.Release(ctx, release)
}
