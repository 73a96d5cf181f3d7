package kctload

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

// noFault makes a good version.
var noFault = kctwire.BadVersion{}

// moveLength is the time to the deadline of a move; shorter ones end before the version can be judged.
const moveLength = 30 * time.Second

// stragglerFactor is how much slower a straggler serves.
const stragglerFactor = 10

// straggle multiplies the service time of one server of the first service.
func straggle(factor float64) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		e := c.server(0)
		f := e.Faults()
		f.ServiceTimeFactor = factor
		e.SetFaults(f)
		return nil
	}
}

// server returns a server of the moved service with the first version.
func (c *Cluster) server(n int) *kctfake.Endpoint {
	return c.endpoints(func(r kctwire.Registration) bool {
		return r.Service == c.moved().Name && r.Version == firstVersion
	})[n]
}

// lose stops one server without notice.
func lose(_ context.Context, c *Cluster) error {
	e := c.server(0)
	e.Stop()
	c.platform.Remove(e.ID())
	return nil
}

// outage starts or ends an outage of the store.
func outage(on bool) func(context.Context, *Cluster) error {
	return func(_ context.Context, c *Cluster) error {
		f := c.platform.Faults()
		f.Outage = on
		c.platform.SetFaults(f)
		return nil
	}
}

// kill ends the last entry without notice.
func kill(_ context.Context, c *Cluster) error {
	m := c.members[len(c.members)-1]
	c.mu.Lock()
	m.killed = true
	c.mu.Unlock()
	return m.Kill()
}

// startMove starts servers of the next version, with a fault or none, and moves the service to them.
func startMove(bad kctwire.BadVersion, length time.Duration) func(context.Context, *Cluster) error {
	return func(ctx context.Context, c *Cluster) error {
		if err := c.AddEndpoints(ctx, []Service{c.moved()}, nextVersion); err != nil {
			return err
		}
		for _, e := range c.next() {
			e.SetFaults(kctwire.EndpointFaults{BadVersion: bad})
		}
		return c.Change(ctx, kctport.ChangeRequest{Kind: kctport.StartMove, Move: kctport.Move{
			ID: "load", Service: c.moved().Name, From: firstVersion, To: nextVersion, Deadline: c.timer.Now().Add(length),
		}})
	}
}

// next lists the servers of the next version.
func (c *Cluster) next() []*kctfake.Endpoint {
	return c.endpoints(func(r kctwire.Registration) bool { return r.Version == nextVersion })
}

// zoneParts counts the parts run in a zone.
func (c *Cluster) zoneParts(zone kctport.Zone) uint64 {
	return ran(c.endpoints(func(r kctwire.Registration) bool { return r.Zone == zone }))
}

// quietZone checks that a zone gets no work: from the first step to the second its parts stay the same.
type quietZone struct {
	zone kctport.Zone
	seen uint64
}

func (q *quietZone) begin(_ context.Context, c *Cluster) error {
	q.seen = c.zoneParts(q.zone)
	return nil
}

func (q *quietZone) end(_ context.Context, c *Cluster) error {
	if now := c.zoneParts(q.zone); now != q.seen {
		return eris.Wrapf(kctport.ErrFailed, "zone %s got %d parts more than 5 s after it was taken out", q.zone, now-q.seen)
	}
	return nil
}
