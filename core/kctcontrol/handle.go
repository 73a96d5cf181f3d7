package kctcontrol

import (
	"context"
	"fmt"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctmember"
)

// Observe queues a batch of observations; it drops the batch and returns false when the queue is full.
func (c *Controller) Observe(batch []kctport.Observation) bool {
	select {
	case c.observations <- batch:
		return true
	default:
		return false
	}
}

// Probe answers a peer's probe of this entry.
func (c *Controller) Probe(ctx context.Context, probe kctport.Probe) (kctport.ProbeReply, error) {
	return call(ctx, c, func(now time.Time) kctport.ProbeReply {
		if probe.Revision > c.config.Revision {
			c.pull(probe.From)
		}
		return c.table.HandleProbe(now, probe)
	})
}

// Indirect returns the probe that this entry sends to the target of another member's indirect probe, and false without one.
func (c *Controller) Indirect(ctx context.Context, probe kctport.Probe) (kctmember.OutgoingProbe, bool) {
	type result struct {
		send kctmember.OutgoingProbe
		ok   bool
	}
	r, err := call(ctx, c, func(now time.Time) result {
		c.table.HandleProbe(now, probe)
		send, ok := c.table.Indirect(probe)
		return result{send, ok}
	})
	return r.send, err == nil && r.ok
}

// SessionFailed records that a session to a member failed or could not be opened; it never blocks.
func (c *Controller) SessionFailed(id kctport.InstanceID) {
	c.offer(callEvent(func(now time.Time) { c.table.HandleFailure(now, id) }))
}

// Push adopts a newer configuration from a peer and returns the revision in force afterwards.
func (c *Controller) Push(ctx context.Context, config kctport.Config) (kctport.Revision, error) {
	return call(ctx, c, func(now time.Time) kctport.Revision {
		c.adopt(now, config)
		return c.config.Revision
	})
}

// Config returns the configuration in force.
func (c *Controller) Config(ctx context.Context) (kctport.Config, error) {
	return call(ctx, c, func(time.Time) kctport.Config { return c.config })
}

// Report merges a peer's evidence about moves.
func (c *Controller) Report(ctx context.Context, reports []kctport.MoveReport) error {
	_, err := call(ctx, c, func(now time.Time) bool {
		for _, r := range reports {
			c.recordStop(r)
			c.tracker.Merge(now, r.From, []kctport.MoveReport{r})
		}
		return true
	})
	return err
}

// recordStop stops traffic to the new version of a move after another entry's report.
func (c *Controller) recordStop(r kctport.MoveReport) {
	for _, m := range c.config.Moves {
		if r.Stopped && m.ID == r.Move && m.State == kctport.MoveRunning && c.stopped[m.ID] == "" {
			c.stopped[m.ID] = r.Evidence
			c.dirty[m.Service] = true
		}
	}
}

// Release ends the handover of endpoints whose previous owner has no more work there.
func (c *Controller) Release(ctx context.Context, release kctport.Release) error {
	_, err := call(ctx, c, func(now time.Time) bool {
		for _, id := range release.Endpoints {
			s := c.endpoints.all[id]
			if s == nil {
				continue
			}
			// A leaving owner's release may arrive before the change of its state, so it is kept for the change of owner.
			s.released = release.From
			if s.owner == c.self.ID {
				c.endHandover(s)
				delete(c.handovers, id)
			}
		}
		c.publish(now)
		return true
	})
	return err
}

// Drain marks this entry as leaving, so that peers take over its endpoints.
func (c *Controller) Drain(ctx context.Context) error {
	_, err := call(ctx, c, func(now time.Time) bool {
		c.draining = true
		c.table.Leave(now)
		c.publish(now)
		return true
	})
	return err
}

// Change applies an operator's request, pushes the accepted configuration and waits up to 500 ms for it to be in force.
func (c *Controller) Change(ctx context.Context, request kctport.ChangeRequest) kctport.ChangeResult {
	config, result := c.writer(ctx).Change(ctx, request)
	if result.Outcome != kctport.Accepted {
		return result
	}
	if _, err := c.Push(ctx, config); err == nil {
		result.InForce, result.Members = c.inForce(ctx, config.Revision)
	}
	return result
}

// writer returns a writer of the stored configuration that knows the one in force.
func (c *Controller) writer(ctx context.Context) *kctconfig.Writer {
	return kctconfig.NewWriter(c.ports.Store, c.codec.Encode, c.codec.Decode, c.ports.Timer, kctconfig.WithInForce(func() kctport.Config {
		// Without an answer the control goroutine has ended, and so has the writer's context.
		config, _ := c.Config(ctx)
		return config
	}))
}

// inForce waits at most peerTimeout for the pushes and counts the members known to have the revision and all live ones.
func (c *Controller) inForce(ctx context.Context, revision kctport.Revision) (inForce, members int) {
	waitCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for {
		// The last count runs after the wait has timed out, so it uses the outer context.
		inForce, members = c.countInForce(ctx, revision)
		if inForce >= members || waitCtx.Err() != nil {
			return inForce, members
		}
		c.sleep(waitCtx, tickPeriod)
	}
}

func (c *Controller) countInForce(ctx context.Context, revision kctport.Revision) (inForce, members int) {
	type counts struct{ inForce, members int }
	n, err := call(ctx, c, func(time.Time) counts {
		var n counts
		for _, m := range c.table.Members() {
			if !m.Alive() {
				continue
			}
			n.members++
			if m.Revision >= revision || m.ID == c.self.ID && c.config.Revision >= revision {
				n.inForce++
			}
		}
		return n
	})
	if err != nil {
		return 0, len(c.View().Members)
	}
	return n.inForce, n.members
}

// progressID identifies one step of a move, so that two holders can't both write it.
func progressID(m kctport.Move) string {
	return fmt.Sprintf("%s-%d", m.ID, m.Epoch)
}
