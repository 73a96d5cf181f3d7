package kctfleet

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// longestWatch is the longest wait for changes; a watch that returns without any is a priced call.
	longestWatch = 2500 * time.Millisecond
	// watchShare bounds the wait by the time within which rules must be in force, so that a connection that went silent doesn't hide them.
	watchShare = 0.83
	// watchPause lets changes gather, since each watch that returns is a priced call.
	watchPause = 150 * time.Millisecond
	// retryPause is the wait after a failed call of the store.
	retryPause = 250 * time.Millisecond
)

// follow reads the store and then watches it until the context ends; after a gap in its history everything is read again.
func (c *Controller) follow(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := c.registry.Load(ctx)
		if err != nil {
			c.failed(ctx, err)
			continue
		}
		c.loaded(ctx, l)
		c.watch(ctx, l.Revision)
	}
}

// loaded takes a complete reading of the store.
func (c *Controller) loaded(ctx context.Context, l kctport.RegistryState) {
	c.update(ctx, func(s *state, now time.Time) []event {
		events := s.heard(now, 0)
		return append(events, s.load(now, l.Changes)...)
	})
}

// watch follows changes until the history has a gap.
func (c *Controller) watch(ctx context.Context, after kctport.StoreRevision) {
	for ctx.Err() == nil {
		changes, revision, err := c.registry.Watch(ctx, after, c.watchWait)
		if errors.Is(err, kctport.ErrCompacted) {
			c.log.LogChange("store history compacted", "", err.Error(), 0)
			return
		}
		if err != nil {
			c.failed(ctx, err)
			continue
		}
		after = revision
		c.update(ctx, func(s *state, now time.Time) []event {
			events := s.heard(now, 0)
			for _, change := range changes {
				events = append(events, s.apply(now, change)...)
			}
			return events
		})
		if len(changes) > 0 {
			c.pause(ctx, watchPause)
		}
	}
}

// failed notes a failed call of the store.
func (c *Controller) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.update(ctx, func(s *state, _ time.Time) []event { return s.lost(err.Error()) })
	c.pause(ctx, retryPause)
}
