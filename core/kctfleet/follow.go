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
	// watchReserve is the time beyond its wait within which a watch must return. The store replies within 0.25 s at the 60-fold slowdown of the site
	// files; connections that have gone silent are noticed by it.
	watchReserve = 300 * time.Millisecond
	// rewatchWait is the wait of the first watch after one that got no answer: it shows soon whether the store is back.
	rewatchWait = 100 * time.Millisecond
	// watchPause batches changes, since each watch that returns is a billed call.
	watchPause = 150 * time.Millisecond
	// retryPause is the delay after a failed call of the store.
	retryPause = 250 * time.Millisecond
)

// followStore reads the store and then watches it until the context ends; after a gap in the store's history it reads everything again.
func (c *Controller) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := c.registry.Load(ctx)
		if err != nil {
			c.recordStoreError(ctx, err)
			c.pause(ctx, retryPause)
			continue
		}
		c.update(ctx, func(s *state, now time.Time) []event {
			s.contact.setWatching(true)
			return s.applyLoaded(now, l)
		})
		watched := c.watchStore(ctx, l.Revision)
		c.update(context.WithoutCancel(ctx), func(s *state, now time.Time) []event {
			s.contact.setWatching(false)
			return s.contact.assess(now)
		})
		if !watched {
			c.pause(ctx, retryPause)
		}
	}
}

// watchStore applies the store's changes until its history has a gap; it reports whether any watch was answered before that.
func (c *Controller) watchStore(ctx context.Context, after kctport.StoreRevision) (watched bool) {
	wait := c.watchWait
	for ctx.Err() == nil {
		changes, revision, err := c.watchOnce(ctx, after, wait)
		if errors.Is(err, kctport.ErrCompacted) {
			c.log.LogChange("store history compacted", "", err.Error(), 0)
			return watched
		}
		if err != nil {
			c.recordStoreError(ctx, err)
			if wait == rewatchWait {
				c.pause(ctx, retryPause)
			}
			// The first repetition comes at once, since only this connection may have failed.
			wait = rewatchWait
			continue
		}
		after, wait, watched = revision, c.watchWait, true
		c.update(ctx, func(s *state, now time.Time) []event { return s.applyWatched(now, changes, revision) })
		if len(changes) > 0 {
			c.pause(ctx, watchPause)
		}
	}
	return watched
}

func (c *Controller) watchOnce(ctx context.Context, after kctport.StoreRevision, wait time.Duration) ([]kctport.RegistryChange, kctport.StoreRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchReserve)
	defer cancel()
	return c.registry.Watch(ctx, after, wait)
}

// recordStoreError records a failed call of the store, unless this entry ended it.
func (c *Controller) recordStoreError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.update(ctx, func(s *state, now time.Time) []event {
		s.contact.ownFailure(err.Error())
		return s.contact.assess(now)
	})
}
