package kctbackend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// Call sends one attempt to the endpoint and checks the reply. An error wraps ErrNotRun or ErrUnknown, together with ErrUnavailable, ErrShed
// (with ErrEndpointDraining from a draining endpoint), ErrSnapshotDropped, ErrInvalid, ErrMismatch, ErrReset, ErrTimeout, ErrFailed or context.Canceled.
func (c *Client) Call(ctx context.Context, endpoint kctport.Endpoint, call kctport.PartCall) (kctport.PartReply, error) {
	sent := c.timer.Now()
	remaining := call.Deadline.Sub(sent)
	if remaining <= c.returnReserve {
		return kctport.PartReply{}, eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrTimeout), "deadline passed before the request was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	body, err := json.Marshal(partRequest(call, remaining-c.returnReserve))
	if err != nil {
		return kctport.PartReply{}, eris.Wrap(errors.Join(kctport.ErrNotRun, kctport.ErrInvalid), err.Error())
	}
	var reply kctport.PartReply
	err = c.pool(endpoint).exchange(ctx, request{call.Request, http.MethodPost, kctwire.PathParts, body}, func(r response) error {
		var err error
		reply, err = checkReply(call, r)
		return err
	})
	if err != nil {
		return kctport.PartReply{}, err
	}
	reply.Latency = c.timer.Now().Sub(sent)
	return reply, nil
}

func partRequest(call kctport.PartCall, remaining time.Duration) kctwire.PartRequest {
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

// Status fetches the endpoint's status, under an identifier that no other status call of this client has, and lowers the connection limit to the one reported. A reply that is not a valid status wraps ErrMismatch.
func (c *Client) Status(ctx context.Context, endpoint kctport.Endpoint) (kctport.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, c.status)
	defer cancel()
	var status kctport.Status
	id := strconv.FormatUint(c.checks.Add(1), 10)
	path := kctwire.PathStatus + "?" + url.Values{kctwire.QueryRequest: {id}}.Encode()
	err := c.pool(endpoint).exchange(ctx, request{id, http.MethodGet, path, nil}, func(r response) error {
		var err error
		status, err = checkStatus(id, r)
		return err
	})
	if err == nil {
		c.lowerLimit(endpoint, status.Connections)
	}
	return status, err
}
