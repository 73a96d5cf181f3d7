package kctfleet

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// leaseTime is how long an entry that died stays in the directory; callers should not be sent to it for more than a few seconds.
	leaseTime = 3 * time.Second
	// renewInterval allows two failed renewals in a lease's time.
	renewInterval = 900 * time.Millisecond
	// revokeTimeout bounds the removal of the record at the end of the process.
	revokeTimeout = 300 * time.Millisecond
)

// keep holds this entry's own record in the store under a lease until the context ends.
func (c *Controller) keep(ctx context.Context) {
	var lease kctport.Lease
	// written is the state of the record that the store has accepted.
	written, leaving := false, false
	for ctx.Err() == nil {
		var err error
		switch {
		case lease == "":
			written = false
			lease, err = c.registry.Grant(ctx, leaseTime)
		case !written || leaving != c.leaving.Load():
			leaving = c.leaving.Load()
			record := c.self
			record.Leaving = leaving
			err = c.registry.Announce(ctx, record, lease)
			written = err == nil
		default:
			err = c.registry.Renew(ctx, lease)
		}
		if errors.Is(err, kctport.ErrNotFound) {
			c.log.Believe("own lease ended", string(c.self.ID), err.Error(), 0)
			lease = ""
			continue
		}
		if err == nil && !written {
			continue
		}
		if c.rest(ctx) {
			written = false
		}
	}
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := c.registry.Revoke(ctx, lease); err != nil {
		c.log.Believe("own lease not ended", string(c.self.ID), err.Error(), 0)
	}
}

// rest waits for the next renewal and reports whether the record must be written again before.
func (c *Controller) rest(ctx context.Context) bool {
	timer, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-c.announce:
		// The record was taken away or has changed; the pause bounds the calls if that goes on.
		c.pause(ctx, watchPause)
		return true
	case <-c.timer.After(timer, renewInterval):
		return false
	}
}

// selfMissing reports whether the store lacks this entry's record though it was there.
func (s *state) selfMissing() bool {
	for _, r := range s.records {
		if r.Entry != nil && r.Entry.ID == s.self.ID {
			s.selfSeen = r.missing.IsZero()
			return !s.selfSeen
		}
	}
	gone := s.selfSeen
	s.selfSeen = false
	return gone
}
