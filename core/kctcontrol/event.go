package kctcontrol

import (
	"context"
	"time"

	kctport "kingcupturn"
)

// event changes control state; it is applied on the control goroutine.
type event interface {
	apply(c *Controller, now time.Time)
}

// post queues an event for the control goroutine; the event is dropped when the context ends first.
func (c *Controller) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// offer queues an event for the control goroutine and drops it when the queue is full; it never blocks.
func (c *Controller) offer(e event) {
	select {
	case c.events <- e:
	default:
	}
}

// call runs a function on the control goroutine and returns its result, or the context's error.
func call[T any](ctx context.Context, c *Controller, f func(now time.Time) T) (T, error) {
	reply := make(chan T, 1)
	c.post(ctx, callEvent(func(now time.Time) { reply <- f(now) }))
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

type callEvent func(now time.Time)

func (e callEvent) apply(_ *Controller, now time.Time) { e(now) }

// probeReply is the result of a probe that this entry sent.
type probeReply struct {
	to      kctport.InstanceID
	subject kctport.InstanceID
	reply   kctport.ProbeReply
	err     error
}

func (e probeReply) apply(c *Controller, now time.Time) {
	if e.err != nil {
		c.table.HandleFailure(now, e.subject)
		return
	}
	c.table.HandleReply(now, e.to, e.reply)
	if e.reply.Revision > c.config.Revision {
		c.pull(e.reply.From)
	}
}

// configReceived is a configuration read from the store or received from a peer.
type configReceived struct {
	config    kctport.Config
	fromStore bool
}

func (e configReceived) apply(c *Controller, now time.Time) {
	if e.fromStore {
		c.storeAnswered = now
	}
	c.adopt(now, e.config)
}

// storeAnswered is an answer of the store without a new version.
type storeAnswered struct{}

func (storeAnswered) apply(c *Controller, now time.Time) { c.storeAnswered = now }

// instancesRead is the result of reading the platform's instance list.
type instancesRead struct {
	endpoints []kctport.Endpoint
	members   []kctport.Member
}

func (e instancesRead) apply(c *Controller, now time.Time) {
	c.table.AddListed(now, e.members)
	c.mergeEndpoints(now, e.endpoints)
}

// statusPolled is the result of a status call to an endpoint.
type statusPolled struct {
	id     kctport.InstanceID
	status kctport.Status
	err    error
}

func (e statusPolled) apply(c *Controller, now time.Time) {
	if s := c.endpoints.all[e.id]; s != nil && s.owner == c.self.ID {
		c.recordStatus(now, s, e.status, e.err)
	}
}
