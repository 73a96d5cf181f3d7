package kctbackend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// Call sends one attempt to the endpoint and checks the reply. An error wraps ErrNotRun or ErrUnknown, together
// with ErrUnavailable, ErrShed (with ErrEndpointDraining from a draining endpoint), ErrSnapshotDropped, ErrMismatch, ErrReset, ErrTimeout, ErrFailed or context.Canceled.
func (c *Client) Call(ctx context.Context, endpoint kctport.Endpoint, call kctport.PartCall) (kctport.PartReply, error) {
	sent := c.timer.Now()
	remaining := call.Deadline.Sub(sent)
	if remaining <= c.back {
		return kctport.PartReply{}, eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrTimeout), "deadline passed before the request was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	body, err := json.Marshal(request(call, remaining-c.back))
	if err != nil {
		return kctport.PartReply{}, eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrInvalid), err.Error())
	}
	var reply kctport.PartReply
	err = c.link(endpoint).exchange(ctx, http.MethodPost, kctwire.PathParts, body, func(r response) error {
		var err error
		reply, err = check(call, r)
		return err
	})
	if err != nil {
		return kctport.PartReply{}, err
	}
	reply.Latency = c.timer.Now().Sub(sent)
	return reply, nil
}

func request(call kctport.PartCall, remaining time.Duration) kctwire.PartRequest {
	return kctwire.PartRequest{
		Request:  call.Request,
		Service:  call.Part.Service,
		Shard:    call.Part.Shard,
		Shards:   call.Shards,
		Snapshot: call.Snapshot,
		Route:    call.Route,
		Body:     call.Body,
		Key:      call.Key,
		Deadline: kctwire.Duration(remaining),
	}
}

// Status asks an endpoint for its state.
func (c *Client) Status(ctx context.Context, endpoint kctport.Endpoint) (kctport.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.status)
	defer cancel()
	var status kctport.Status
	err := c.link(endpoint).exchange(ctx, http.MethodGet, kctwire.PathStatus, nil, func(r response) error {
		var err error
		status, err = checkStatus(r)
		return err
	})
	if err == nil {
		c.adopt(endpoint, status.Connections)
	}
	return status, err
}
