package kctslope

import (
	"context"

	kctport "kingcupturn"
)

// echoHandler answers control messages with replies of the size that a peer sends; it implements only the calls that are measured.
type echoHandler struct{ kctport.PeerHandler }

// HandleProbe implements kctport.PeerHandler.
func (echoHandler) HandleProbe(_ context.Context, p kctport.Probe) (kctport.ProbeReply, error) {
	return kctport.ProbeReply{From: p.From, Revision: p.Revision, Changes: p.Changes}, nil
}

// HandlePush implements kctport.PeerHandler.
func (echoHandler) HandlePush(_ context.Context, c kctport.Config) (kctport.Revision, error) {
	return c.Revision, nil
}

// HandleShare implements kctport.PeerHandler.
func (echoHandler) HandleShare(context.Context, []kctport.EndpointReport) error { return nil }
