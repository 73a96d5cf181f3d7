package kctload

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

// noFault is the fault setting of a good version.
var noFault = kctwire.BadVersion{}

// moveLength is the time from the start of a move to its deadline; shorter moves end before the version can be evaluated.
const moveLength = 30 * time.Second

// stragglerFactor multiplies the service time of a straggler.
const stragglerFactor = 10

// setStraggler returns a step that multiplies the service time of one endpoint of the moved service; factor 1 restores it.
func setStraggler(factor float64) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		e := c.movedEndpoint(0)
		f := e.Faults()
		f.ServiceTimeFactor = factor
		e.SetFaults(f)
		return nil
	}
}

// movedEndpoint returns the n-th endpoint of the moved service with the first version.
func (c *Cluster) movedEndpoint(n int) *kctfake.Endpoint {
	return c.endpoints(func(r kctwire.Registration) bool {
		return r.Service == c.movedService().Name && r.Version == firstVersion
	})[n]
}

// removeEndpoint is a step that stops one endpoint without draining and removes its instance from the platform.
func removeEndpoint(_ context.Context, c *Cluster) error {
	e := c.movedEndpoint(0)
	e.Stop()
	c.platform.Remove(e.ID())
	return nil
}

// setStoreOutage returns a step that starts or ends an outage of the store.
func setStoreOutage(on bool) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		f := c.platform.Faults()
		f.Outage = on
		c.platform.SetFaults(f)
		return nil
	}
}

// killEntry is a step that kills the last entry without draining it.
func killEntry(_ context.Context, c *Cluster) error {
	e := c.entries[len(c.entries)-1]
	c.mu.Lock()
	e.killed = true
	c.mu.Unlock()
	return e.Kill()
}

// startMove returns a step that starts endpoints of the next version with the given fault and starts a move to it, with a deadline after length.
func startMove(bad kctwire.BadVersion, length time.Duration) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		if err := c.AddEndpoints(ctx, []Service{c.movedService()}, nextVersion); err != nil {
			return err
		}
		for _, e := range c.nextVersionEndpoints() {
			e.SetFaults(kctwire.EndpointFaults{BadVersion: bad})
		}
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.StartMove, Move: kctport.Move{
			ID: "load", Service: c.movedService().Name, From: firstVersion, To: nextVersion, Deadline: c.timer.Now().Add(length),
		}})
	}
}

// nextVersionEndpoints returns the endpoints of the next version.
func (c *Cluster) nextVersionEndpoints() []*kctfake.Endpoint {
	return c.endpoints(func(r kctwire.Registration) bool { return r.Version == nextVersion })
}

// zonePartsRun returns the number of parts that the endpoints of a zone ran.
func (c *Cluster) zonePartsRun(zone kctport.Zone) uint64 {
	return sumPartsRun(c.endpoints(func(r kctwire.Registration) bool { return r.Zone == zone }))
}

// idleZoneCheck checks that the endpoints of a zone run no parts between two steps.
type idleZoneCheck struct {
	zone        kctport.Zone
	partsBefore uint64
}

func (z *idleZoneCheck) recordParts(_ context.Context, c *Cluster) error {
	z.partsBefore = c.zonePartsRun(z.zone)
	return nil
}

func (z *idleZoneCheck) requireNoNewParts(_ context.Context, c *Cluster) error {
	if now := c.zonePartsRun(z.zone); now != z.partsBefore {
		return eris.Wrapf(kctport.ErrFailed, "zone %s got %d parts more than 5 s after it was taken out", z.zone, now-z.partsBefore)
	}
	return nil
}
