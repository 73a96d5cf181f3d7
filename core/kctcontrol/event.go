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

// post hands an event to the control goroutine and gives up when the context ends.
func (c *Controller) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// offer hands an event to the control goroutine unless that is behind; it never blocks.
func (c *Controller) offer(e event) {
	select {
	case c.events <- e:
	default:
	}
}

// call runs a request on the control goroutine and returns its result.
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

// configSeen is a configuration read from the store or received from a peer.
type configSeen struct {
	config    kctport.Config
	fromStore bool
}

func (e configSeen) apply(c *Controller, now time.Time) {
	if e.fromStore {
		c.storeHeard = now
	}
	c.adopt(now, e.config)
}

// storeHeard tells that the store answered without news.
type storeHeard struct{}

func (storeHeard) apply(c *Controller, now time.Time) { c.storeHeard = now }

// listed is a reading of the platform's instance list.
type listed struct {
	endpoints []kctport.Endpoint
	members   []kctport.Member
}

func (e listed) apply(c *Controller, now time.Time) {
	c.table.AddListed(now, e.members)
	c.learnEndpoints(now, e.endpoints)
}

// polled is an endpoint's own status, or the failure to get it.
type polled struct {
	id     kctport.InstanceID
	status kctport.Status
	err    error
}

func (e polled) apply(c *Controller, now time.Time) {
	if s := c.endpoints.all[e.id]; s != nil && s.owner == c.self.ID {
		c.poll(now, s, e.status, e.err)
	}
}
