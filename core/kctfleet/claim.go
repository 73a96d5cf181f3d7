package kctfleet

import (
	"context"
	"errors"
	"time"

	kctport "kingcupturn"
)

const (
	// leaseTTL is how long the record of a failed reader remains; its subscribers use another zone's reader meanwhile.
	leaseTTL = 3 * time.Second
	// renewInterval allows two failed renewals within leaseTTL.
	renewInterval = 900 * time.Millisecond
	// renewTimeout bounds a renewal, by which a reader notices first that its calls get no answer. The store replies within 0.25 s at the 60-fold
	// slowdown of the site files.
	renewTimeout = 600 * time.Millisecond
	// revokeTimeout bounds the removal of the reader's record at shutdown.
	revokeTimeout = 300 * time.Millisecond
	// claimInterval is the shortest time between an entry's claims, which the store may refuse.
	claimInterval = 3 * time.Second
	// claimStep delays the claims of the entries of a zone whose reader has failed one after the other, so that the first one wins at the cost of two
	// calls.
	claimStep = 100 * time.Millisecond
)

// claim is the lease with which an entry is the reader of its zone.
type claim struct {
	lease   kctport.Lease
	renewAt time.Time
}

// claimZone makes this entry the reader of its zone; it fails with ErrConflict when another entry is.
func (c *Controller) claimZone(ctx context.Context) (*claim, error) {
	lease, err := c.registry.Grant(ctx, leaseTTL)
	if err == nil {
		err = c.registry.Claim(ctx, c.self, lease)
	}
	if err != nil {
		c.log.LogChange("zone not claimed", string(c.self.Zone), err.Error(), 0)
		return nil, err
	}
	c.log.LogChange("zone claimed", string(c.self.Zone), "", 0)
	return &claim{lease: lease, renewAt: c.timer.Now().Add(renewInterval)}, nil
}

// renew renews the lease and returns false when it has ended. A lease that can't be renewed is kept, since the store may be out and the lease with it.
func (c *Controller) renew(ctx context.Context, held *claim) bool {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := c.registry.Renew(callCtx, held.lease)
	switch {
	case err == nil:
		// The watch may show contact only at the end of its wait.
		c.update(ctx, func(s *state, now time.Time) []event {
			s.contact.ownReply(now)
			return s.contact.assess(now)
		})
		held.renewAt = c.timer.Now().Add(renewInterval)
	case errors.Is(err, kctport.ErrNotFound):
		c.log.LogChange("reader's lease ended", string(c.self.Zone), err.Error(), 0)
		return false
	default:
		c.recordStoreError(ctx, err)
		held.renewAt = c.timer.Now().Add(retryPause)
	}
	return true
}

// giveUp revokes the lease, so that another entry can claim the zone at once.
func (c *Controller) giveUp(ctx context.Context, held *claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := c.registry.Revoke(ctx, held.lease); err != nil {
		c.log.LogChange("reader's lease not revoked", string(c.self.Zone), err.Error(), 0)
	}
	c.log.LogChange("zone given up", string(c.self.Zone), "", 0)
}

// zoneReader returns the reader of this entry's zone among readers, if that is another entry.
func (c *Controller) zoneReader(readers []kctport.EntryRecord) (kctport.EntryRecord, bool) {
	for _, r := range readers {
		if r.Zone == c.self.Zone && r.ID != c.self.ID {
			return r, true
		}
	}
	return kctport.EntryRecord{}, false
}
