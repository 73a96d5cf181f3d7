package kctcontrol

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// announceLease is how long the instance list keeps an entry that has crashed; other entries detect the crash sooner,
	// by probes.
	announceLease = 15 * time.Second
	// announceRenewPeriod is a third of the lease, so that two renewals may fail.
	announceRenewPeriod = 5 * time.Second
	// announceRevokeTimeout bounds the removal of the entry from the list at shutdown.
	announceRevokeTimeout = 300 * time.Millisecond
)

// announce keeps this entry on the platform's instance list, from which starting entries read their first members.
func (c *Controller) announce(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := c.ports.Store.Grant(ctx, announceLease)
		if err == nil {
			err = c.ports.Directory.Announce(ctx, c.self, lease)
		}
		if err != nil {
			c.recordOutcome("announce", err)
			c.sleep(ctx, retryPeriod)
			continue
		}
		c.recordOutcome("announce", nil)
		c.renewAnnouncement(ctx, lease)
	}
}

// renewAnnouncement renews the lease until it has expired, or until the context ends and the lease is revoked.
func (c *Controller) renewAnnouncement(ctx context.Context, lease kctport.Lease) {
	for {
		c.sleep(ctx, announceRenewPeriod)
		if ctx.Err() != nil {
			break
		}
		err := c.ports.Store.Renew(ctx, lease)
		c.recordOutcome("announce", err)
		if errors.Is(err, kctport.ErrNotFound) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceRevokeTimeout)
	defer cancel()
	if err := c.ports.Store.Revoke(ctx, lease); err != nil {
		c.recordOutcome("announce", err)
	}
}
