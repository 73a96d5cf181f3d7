package kctbackend

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// checkReply compares a reply with its request, so that a late, crossed, truncated or left-over reply is never accepted as the answer.
func checkReply(call kctport.PartCall, r response) (kctport.PartReply, error) {
	if r.status != http.StatusOK {
		return kctport.PartReply{}, refusalError(call, r)
	}
	var p kctwire.PartReply
	if err := json.Unmarshal(r.body, &p); err != nil {
		return kctport.PartReply{}, mismatchError("body: %v", err)
	}
	part := kctport.Part{Service: p.Service, Shard: p.Shard}
	switch {
	case p.Request != call.Request:
		return kctport.PartReply{}, mismatchError("request %q, sent %q", p.Request, call.Request)
	case part != call.Part || p.Shards != call.Shards:
		return kctport.PartReply{}, mismatchError("part %s of %d, sent %s of %d", part, p.Shards, call.Part, call.Shards)
	case p.Snapshot != call.Snapshot:
		return kctport.PartReply{}, mismatchError("snapshot %d, sent %d", p.Snapshot, call.Snapshot)
	case p.Count != len(p.Items):
		return kctport.PartReply{}, mismatchError("%d items, count is %d", len(p.Items), p.Count)
	case p.Checksum != kctwire.Checksum(&p):
		return kctport.PartReply{}, mismatchError("checksum %s, computed %s", p.Checksum, kctwire.Checksum(&p))
	}
	return kctport.PartReply{
		Request:  p.Request,
		Part:     part,
		Shards:   p.Shards,
		Snapshot: p.Snapshot,
		Items:    kctwire.Items(p.Items),
	}, nil
}

// refusal is the HTTP status and the code of a refusal.
type refusal struct {
	status int
	code   string
}

// refusals maps the refusals of the endpoint interface to errors; any other combination is a damaged reply.
var refusals = map[refusal]error{
	{http.StatusConflict, kctwire.CodeSnapshot}:           kctport.ErrSnapshotDropped,
	{http.StatusTooManyRequests, kctwire.CodeShed}:        kctport.ErrShed,
	{http.StatusServiceUnavailable, kctwire.CodeDraining}: errors.Join(kctport.ErrShed, kctport.ErrEndpointDraining),
	{http.StatusGatewayTimeout, kctwire.CodeDeadline}:     kctport.ErrTimeout,
	{http.StatusInternalServerError, kctwire.CodeFailed}:  kctport.ErrFailed,
	{http.StatusBadRequest, kctwire.CodeInvalid}:          kctport.ErrInvalid,
}

func refusalError(call kctport.PartCall, r response) error {
	var f kctwire.Refusal
	if err := json.Unmarshal(r.body, &f); err != nil {
		return mismatchError("status %d, body: %v", r.status, err)
	}
	kind, ok := refusals[refusal{status: r.status, code: f.Code}]
	if !ok {
		return mismatchError("status %d with code %q", r.status, f.Code)
	}
	if f.Request != call.Request {
		return mismatchError("refusal of request %q, sent %q", f.Request, call.Request)
	}
	ran := kctport.ErrUnknown
	if f.Ran == kctwire.RanNo {
		ran = kctport.ErrNotRun
	}
	return eris.Wrapf(errors.Join(ran, kind), "endpoint refused: %s", f.Code)
}

// checkStatus decodes a status reply and compares it with its call, so that a late reply to an earlier one is not taken for the present status.
func checkStatus(id string, r response) (kctport.Status, error) {
	var s kctwire.Status
	if r.status != http.StatusOK {
		return kctport.Status{}, mismatchError("status call: HTTP status %d", r.status)
	}
	if err := json.Unmarshal(r.body, &s); err != nil {
		return kctport.Status{}, mismatchError("status body: %v", err)
	}
	if s.Request != id {
		return kctport.Status{}, mismatchError("status call %q, sent %q", s.Request, id)
	}
	if s.Boot == 0 || s.Slots < 0 || s.Connections < 0 || s.InFlight < 0 {
		return kctport.Status{}, mismatchError("status with boot %d, slots %d, connections %d, inflight %d", s.Boot, s.Slots, s.Connections, s.InFlight)
	}
	out := kctport.Status{BootID: s.Boot, Slots: s.Slots, Connections: s.Connections, InFlight: s.InFlight, Draining: s.Draining}
	for _, h := range s.Holdings {
		if h.Shards <= 0 || h.Shard < 0 || h.Shard >= h.Shards {
			return kctport.Status{}, mismatchError("status with shard %d of %d", h.Shard, h.Shards)
		}
		out.Holdings = append(out.Holdings, kctport.Holding(h))
	}
	return out, nil
}

func mismatchError(format string, args ...any) error {
	return eris.Wrapf(errors.Join(kctport.ErrUnknown, kctport.ErrMismatch), format, args...)
}
