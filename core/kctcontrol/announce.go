package kctcontrol

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// announceLease is how long the list names an entry that has died; other entries find that out by probes sooner.
	announceLease = 15 * time.Second
	// announceRenew allows two failed renewals in a lease's time.
	announceRenew = 5 * time.Second
	// announceEnd bounds the removal of the entry from the list when it ends.
	announceEnd = 300 * time.Millisecond
)

// announce keeps this entry on the platform's list, from which others that start learn of it.
func (c *Controller) announce(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := c.ports.Store.Grant(ctx, announceLease)
		if err == nil {
			err = c.ports.Directory.Announce(ctx, c.self, lease)
		}
		if err != nil {
			c.trouble("announce", err)
			c.sleep(ctx, retryPeriod)
			continue
		}
		c.trouble("announce", nil)
		c.keepAnnounced(ctx, lease)
	}
}

// keepAnnounced renews the lease until it or the context ends.
func (c *Controller) keepAnnounced(ctx context.Context, lease kctport.Lease) {
	for {
		c.sleep(ctx, announceRenew)
		if ctx.Err() != nil {
			break
		}
		err := c.ports.Store.Renew(ctx, lease)
		c.trouble("announce", err)
		if errors.Is(err, kctport.ErrNotFound) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceEnd)
	defer cancel()
	if err := c.ports.Store.Revoke(ctx, lease); err != nil {
		c.trouble("announce", err)
	}
}
