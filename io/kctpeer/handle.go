package kctpeer

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

// serveStream reads one request, runs it and writes the reply.
func (m *Mesh) serveStream(ctx context.Context, a *accepted, stream *yamux.Stream, handler kctport.PeerHandler) {
	defer m.wait.Done()
	defer m.active.Add(-1)
	req, in, err := readRequest(a, stream)
	if err != nil && !a.client.Admitted() {
		// This closes the stream too. Closing only that would keep its receive buffer for the time in which the other end may close it.
		a.close()
		return
	}
	defer stream.Close()
	if err != nil {
		// The request did not run. The other entry gets only a closed stream, also after an invalid request.
		klog.V(2).InfoS("cannot read peer request", "err", err)
		return
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	remaining := time.Duration(req.GetRemaining())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	m.wait.Add(1)
	go m.cancelOnClose(stream, cancel)
	reply := m.dispatch(ctx, req, m.timer.Now().Add(remaining), handler)
	b, err := encode(reply)
	if err != nil {
		b, err = encode(errorReply(eris.Wrap(errors.Join(kctport.ErrUnknown, err), "reply not sendable")))
	}
	if err != nil {
		return
	}
	if isControl(req) {
		m.received.Add(uint64(in))
		m.sent.Add(uint64(len(b)))
	}
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := stream.Write(b); err != nil {
		klog.V(2).InfoS("cannot write peer reply", "err", err)
	}
}

// readRequest reads a request and its size in bytes; the first one admits the session.
func readRequest(a *accepted, stream *yamux.Stream) (*kctproto.Request, int, error) {
	if err := stream.SetReadDeadline(time.Now().Add(defaultDeadline)); err != nil {
		return nil, 0, err
	}
	req := &kctproto.Request{}
	in, err := decodeRequest(stream, a.client, req)
	if err != nil {
		return nil, 0, err
	}
	return req, in, a.client.Admit()
}

// cancelOnClose cancels the handler's context when the other entry closes the stream, which is how it cancels a request.
func (m *Mesh) cancelOnClose(stream *yamux.Stream, cancel context.CancelFunc) {
	defer m.wait.Done()
	defer cancel()
	var b [64]byte
	for {
		if _, err := stream.Read(b[:]); err != nil {
			return
		}
	}
}

// isControl reports whether a request is a control message, whose bytes are counted.
func isControl(req *kctproto.Request) bool {
	return req.GetRelay() == nil && req.GetForward() == nil
}

// dispatch runs a request and returns its reply. A handler's panic ends the process, so that a faulty handler does not continue.
func (m *Mesh) dispatch(ctx context.Context, req *kctproto.Request, deadline time.Time, handler kctport.PeerHandler) *kctproto.Reply {
	if m.draining.Load() {
		return errorReply(eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrDraining), "entry is shutting down"))
	}
	reply := &kctproto.Reply{}
	var err error
	switch body := req.GetBody().(type) {
	case *kctproto.Request_Probe:
		var r kctport.ProbeReply
		r, err = handler.HandleProbe(ctx, toProbe(body.Probe))
		reply.Body = &kctproto.Reply_Probe{Probe: fromProbeReply(r)}
	case *kctproto.Request_Relay:
		var r kctport.PartReply
		r, err = handler.HandleRelay(ctx, toCall(body.Relay, deadline))
		reply.Body = &kctproto.Reply_Relay{Relay: fromPart(r)}
	case *kctproto.Request_Forward:
		var r kctport.Result
		r, err = handler.HandleForward(ctx, toExecution(body.Forward, deadline))
		reply.Body = &kctproto.Reply_Forward{Forward: fromResult(r)}
	case *kctproto.Request_Push:
		err = m.handlePush(ctx, body.Push, reply, handler)
	case *kctproto.Request_Pull:
		err = m.handlePull(ctx, reply, handler)
	case *kctproto.Request_Suspect:
		err = handler.HandleSuspect(ctx, convertAll(body.Suspect.GetSuspicions(), toSuspicion))
	case *kctproto.Request_Report:
		err = handler.HandleReport(ctx, convertAll(body.Report.GetReports(), toReport))
	case *kctproto.Request_Release:
		err = handler.HandleRelease(ctx, toRelease(body.Release))
	case *kctproto.Request_Share:
		err = handler.HandleShare(ctx, convertAll(body.Share.GetShares(), toShare))
	default:
		err = eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrInvalid), "request kind is not known")
	}
	if err != nil {
		return errorReply(err)
	}
	return reply
}

// handlePush decodes a pushed configuration and replies with the revision in force.
func (m *Mesh) handlePush(ctx context.Context, d *kctproto.Document, reply *kctproto.Reply, handler kctport.PeerHandler) error {
	config, err := m.codec.unpack(d)
	if err != nil {
		return eris.Wrap(errors.Join(kctport.ErrInvalid, err), "pushed configuration")
	}
	r, err := handler.HandlePush(ctx, config)
	reply.Body = &kctproto.Reply_Push{Push: uint64(r)}
	return err
}

// handlePull replies with the configuration in force.
func (m *Mesh) handlePull(ctx context.Context, reply *kctproto.Reply, handler kctport.PeerHandler) error {
	config, err := handler.HandlePull(ctx)
	if err != nil {
		return err
	}
	document, err := m.codec.pack(config)
	reply.Body = &kctproto.Reply_Pull{Pull: document}
	return err
}

// errorReply returns a reply with the error's text and the codes of its sentinels.
func errorReply(err error) *kctproto.Reply {
	text := err.Error()
	if text == "" {
		text = "failed without a message"
	}
	return &kctproto.Reply{Codes: encodeError(err), Error: text}
}
