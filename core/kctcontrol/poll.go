package kctcontrol

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctmember"
)

const (
	// configKey is the store key of the configuration document.
	configKey = "config"
	// watchPeriod bounds the wait of one watch.
	watchPeriod = 10 * time.Second
	// readPeriod is how often an entry without a watch reads the store, with jitter.
	readPeriod = 30 * time.Second
	// restoreTimeout bounds one attempt to write the configuration again.
	restoreTimeout = 2 * time.Second
	// retryPeriod spaces calls to a store that fails.
	retryPeriod = 500 * time.Millisecond
	// listPeriod is how often an entry of a small fleet reads the instance list.
	listPeriod = time.Second
	// listPeriodPerMember lengthens the period with the number of members, so that a fleet reads the list at most
	// 1000 times a second.
	listPeriodPerMember = time.Millisecond
	// statusPeriod is how often the owner of an endpoint reads its status.
	statusPeriod = time.Second
	// statusTimeout bounds one status call.
	statusTimeout = 500 * time.Millisecond
	// zoneWatchers is the number of entries in each zone that hold a watch.
	zoneWatchers = 2
)

// probe sends one probe for the member table.
func (c *Controller) probe(s kctmember.OutgoingProbe) {
	c.spawn(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
		defer cancel()
		reply, err := c.ports.Peers.Probe(callCtx, s.To, s.Probe)
		c.post(ctx, probeReply{to: s.To.ID, subject: s.Subject(), reply: reply, err: err})
	})
}

func (c *Controller) pollDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		endpoints, members, err := c.ports.Directory.Instances(callCtx)
		cancel()
		c.recordOutcome("read the list of instances", err)
		if err == nil {
			c.post(ctx, instancesRead{endpoints: endpoints, members: members})
		}
		period := max(listPeriod, time.Duration(len(c.View().Members))*listPeriodPerMember)
		c.sleep(ctx, period)
	}
}

// followStore watches the configuration when this entry is a watcher and reads it about every readPeriod otherwise.
func (c *Controller) followStore(ctx context.Context) {
	var version uint64
	first := true
	for ctx.Err() == nil {
		record, err := c.nextRecord(ctx, version, first)
		first = first && err != nil && !errors.Is(err, kctport.ErrNotFound)
		switch {
		case err == nil && record.Version > 0:
			version = record.Version
			c.recordOutcome("read the configuration", nil)
			config, err := c.codec.Decode(record.Value)
			c.recordOutcome("decode the configuration", err)
			if err == nil {
				c.post(ctx, configReceived{config: config, fromStore: true})
				c.restoreStored(ctx, config)
			}
		case err == nil, errors.Is(err, kctport.ErrTimeout), errors.Is(err, kctport.ErrNotFound):
			c.recordOutcome("read the configuration", nil)
			c.post(ctx, storeAnswered{})
			c.sleep(ctx, retryPeriod)
		default:
			c.recordOutcome("read the configuration", err)
			c.sleep(ctx, retryPeriod)
		}
	}
}

// restoreStored writes the configuration in force again when the stored one is older, as in a store that has come back from an older copy.
func (c *Controller) restoreStored(ctx context.Context, stored kctport.Config) {
	inForce, err := c.Config(ctx)
	if err != nil || !kctconfig.Newer(stored, inForce) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	err = c.writer(callCtx).Restore(callCtx)
	if errors.Is(err, kctport.ErrConflict) {
		// Another entry was faster.
		err = nil
	}
	c.recordOutcome("write the configuration again", err)
}

// nextRecord reads the record at once at the start; after that a watcher waits for a new version, and other entries
// read it when the next periodic read is due, also while the record does not exist yet.
func (c *Controller) nextRecord(ctx context.Context, version uint64, first bool) (kctport.Record, error) {
	if !first && !c.isWatcher() {
		c.waitForRead(ctx)
	}
	if first || !c.isWatcher() {
		return c.ports.Store.Read(ctx, configKey)
	}
	return c.ports.Store.Watch(ctx, configKey, version, watchPeriod)
}

// waitForRead waits until the next periodic read is due, or until this entry becomes a watcher.
func (c *Controller) waitForRead(ctx context.Context) {
	until := c.ports.Timer.Now().Add(readPeriod/2 + rand.N(readPeriod))
	for ctx.Err() == nil && c.ports.Timer.Now().Before(until) && !c.isWatcher() {
		c.sleep(ctx, time.Second)
	}
}

// isWatcher reports whether this entry is one of its zone's watchers, or reaches too few peers to rely on theirs.
func (c *Controller) isWatcher() bool {
	v := c.View()
	if v.Isolated || len(v.Members) <= 1 {
		return true
	}
	ownScore := kctmember.Score("watch", v.Self.ID)
	higher := 0
	for _, m := range v.Members {
		if m.Zone == v.Self.Zone && m.Alive() && m.ID != v.Self.ID && kctmember.Score("watch", m.ID) > ownScore {
			higher++
		}
	}
	return higher < zoneWatchers
}

func (c *Controller) pollEndpoints(ctx context.Context) {
	tick := c.ports.Timer.Subscribe(ctx, statusPeriod)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			c.pollAll(ctx)
		}
	}
}

func (c *Controller) pollAll(ctx context.Context) {
	var group sync.WaitGroup
	view := c.View()
	for r := range view.Replicas() {
		if r.Owner != view.Self.ID {
			continue
		}
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			status, err := c.ports.Backend.Status(callCtx, r.Endpoint)
			c.post(ctx, statusPolled{id: r.ID, status: status, err: err})
		})
	}
	group.Wait()
}

func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-c.ports.Timer.After(ctx, d):
	}
}
