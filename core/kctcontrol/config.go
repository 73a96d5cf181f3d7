package kctcontrol

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
)

const (
	// peerTimeout bounds one control message to a peer.
	peerTimeout = 500 * time.Millisecond
	// fullPushMembers is the largest fleet in which an entry pushes a configuration to everyone itself.
	fullPushMembers = 16
	// pushFanout is how many random members an entry of a larger fleet pushes to; expected misses are
	// e^-8 of the fleet, and those pull after their next probe.
	pushFanout = 8
)

// adopt takes a configuration with a higher revision; a lower or equal one is ignored.
func (c *Controller) adopt(now time.Time, config kctport.Config) {
	if !kctconfig.Newer(c.config, config) {
		return
	}
	for _, z := range c.config.ZonesOut {
		c.returned[z.Zone] = now
		c.warming[z.Zone] = now.Add(zoneCold)
	}
	for _, z := range config.ZonesOut {
		delete(c.returned, z.Zone)
		delete(c.warming, z.Zone)
	}
	c.config = config
	c.markAll()
	c.table.SetRevision(config.Revision)
	c.push(config)
	c.publish(now)
}

// zoneCold is how long the endpoints of a returned zone count as cold; their gates warm by their own replies.
const zoneCold = 5 * time.Second

// refreshZones ends the cold period of returned zones.
func (c *Controller) refreshZones(now time.Time) {
	for zone, until := range c.warming {
		if now.Before(until) {
			continue
		}
		delete(c.warming, zone)
		for _, s := range c.endpoints.byZone[zone] {
			c.changed(s)
		}
	}
}

// push spreads a configuration that is new to this entry.
func (c *Controller) push(config kctport.Config) {
	config = TrimHistory(config)
	for _, m := range c.gossipTargets() {
		if m.Revision >= config.Revision {
			continue
		}
		c.sendTo(m, func(ctx context.Context, to kctport.Member) {
			// A member that misses the push pulls after its next probe.
			_, _ = c.ports.Peers.Push(ctx, to, config)
		})
	}
}

// pushedHistory is how many changes of the history travel between entries; the store keeps the whole one, which is 160
// bytes a change.
const pushedHistory = 20

// TrimHistory returns the configuration as it travels between entries, with the end of its history only.
func TrimHistory(config kctport.Config) kctport.Config {
	if n := len(config.History); n > pushedHistory {
		config.History = config.History[n-pushedHistory:]
	}
	return config
}

// FullConfig returns the configuration with its whole history from the store, or the one in force when the store is
// out or behind.
func (c *Controller) FullConfig(ctx context.Context) (kctport.Config, error) {
	current, err := c.Config(ctx)
	if err != nil {
		return current, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	record, err := c.ports.Store.Read(ctx, configKey)
	if err != nil {
		return current, nil
	}
	stored, err := c.codec.Decode(record.Value)
	if err != nil || stored.Revision < current.Revision {
		return current, nil
	}
	return stored, nil
}

func (c *Controller) pull(from kctport.Member) {
	c.sendTo(from, func(ctx context.Context, from kctport.Member) {
		config, err := c.ports.Peers.Pull(ctx, from)
		if err == nil {
			c.post(ctx, configSeen{config: config})
		}
	})
}
