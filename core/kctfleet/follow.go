package kctfleet

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// maxWatchWait is the longest wait for changes in a watch; each watch that returns empty is a billed call.
	maxWatchWait = 2500 * time.Millisecond
	// watchWaitRatio limits the wait to a part of the time within which rules must be in force, so that a stalled connection can't delay them longer.
	watchWaitRatio = 0.83
	// watchPause batches changes, since each watch that returns is a billed call.
	watchPause = 150 * time.Millisecond
	// retryPause is the delay after a failed call of the store.
	retryPause = 250 * time.Millisecond
)

// followStore reads the store and then watches it until the context ends; after a gap in the store's history it reads everything again.
func (c *Controller) followStore(ctx context.Context) {
	defer c.update(context.WithoutCancel(ctx), func(s *state, _ time.Time) []event {
		s.watching = false
		return nil
	})
	for ctx.Err() == nil {
		l, err := c.registry.Load(ctx)
		if err != nil {
			c.handleStoreError(ctx, err)
			continue
		}
		c.applyLoaded(ctx, l)
		c.update(ctx, func(s *state, _ time.Time) []event {
			s.watching = true
			return nil
		})
		c.watchStore(ctx, l.Revision)
	}
}

// applyLoaded applies a complete reading of the store.
func (c *Controller) applyLoaded(ctx context.Context, l kctport.RegistryState) {
	c.update(ctx, func(s *state, now time.Time) []event {
		s.source = s.self.ID
		events := s.recordContact(now, s.ownContact(now, true))
		return append(events, s.applyFull(now, l.Changes, l.Revision)...)
	})
}

// watchStore applies the store's changes until its history has a gap.
func (c *Controller) watchStore(ctx context.Context, after kctport.StoreRevision) {
	for ctx.Err() == nil {
		changes, revision, err := c.registry.Watch(ctx, after, c.watchWait)
		if errors.Is(err, kctport.ErrCompacted) {
			c.log.LogChange("store history compacted", "", err.Error(), 0)
			return
		}
		if err != nil {
			c.handleStoreError(ctx, err)
			continue
		}
		after = revision
		c.update(ctx, func(s *state, now time.Time) []event {
			s.source = s.self.ID
			events := s.recordContact(now, s.ownContact(now, true))
			for _, change := range changes {
				events = append(events, s.apply(now, change)...)
			}
			s.revision = max(s.revision, revision)
			return events
		})
		if len(changes) > 0 {
			c.pause(ctx, watchPause)
		}
	}
}

// handleStoreError records a failed call of the store and waits before the next.
func (c *Controller) handleStoreError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.update(ctx, func(s *state, now time.Time) []event {
		s.ownSince = time.Time{}
		return s.recordOutage(now, err.Error())
	})
	c.pause(ctx, retryPause)
}
