package kctcontrol

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctmember"
)

// movePeriod is how often control looks at running moves and reports evidence.
const movePeriod = 500 * time.Millisecond

// cutMoves stops the new version's traffic on this entry's own evidence, before the holder decides.
func (c *Controller) cutMoves(now time.Time) {
	for _, m := range c.config.Moves {
		if m.State != kctport.MoveRunning || c.cuts[m.ID] != "" {
			continue
		}
		if cut, evidence := c.tracker.Stopped(now, m); cut {
			c.cuts[m.ID] = evidence
			c.spreadCut(m, evidence)
			c.dirty[m.Service] = true
			c.publish(now)
		}
	}
}

// workOnMoves sends evidence to the holder of each running move, or decides when this entry is the holder.
func (c *Controller) workOnMoves(now time.Time) {
	if now.Sub(c.lastMove) < movePeriod {
		return
	}
	c.lastMove = now
	c.trackMoves(now)
	c.cutMoves(now)
	reports := c.tracker.Reports(now)
	for i := range reports {
		reports[i].From = c.self.ID
	}
	for _, m := range c.config.Moves {
		if m.State != kctport.MoveRunning {
			continue
		}
		holder := c.holder(m)
		if holder.ID == c.self.ID {
			c.decide(now, m)
			continue
		}
		c.report(holder, reportsOf(reports, m.ID))
	}
}

// spreadCut tells all members of a cut at once, so that those without evidence stop too while the store is out.
func (c *Controller) spreadCut(m kctport.Move, evidence string) {
	cut := []kctport.MoveReport{{From: c.self.ID, Move: m.ID, Version: m.To, Stopped: true, Evidence: evidence}}
	for _, p := range c.members.peers {
		c.report(p, cut)
	}
}

func reportsOf(reports []kctport.MoveReport, move string) []kctport.MoveReport {
	var out []kctport.MoveReport
	for _, r := range reports {
		if r.Move == move {
			out = append(out, r)
		}
	}
	return out
}

// holder is the live member that works on a move; rendezvous keeps it stable while others come and go.
func (c *Controller) holder(m kctport.Move) kctport.Member {
	best := c.self
	for _, p := range c.members.peers {
		if kctmember.Score(m.ID, p.ID) > kctmember.Score(m.ID, best.ID) {
			best = p
		}
	}
	return best
}

// trackMoves tells the tracker of the moves and their endpoints.
func (c *Controller) trackMoves(now time.Time) {
	for _, m := range c.config.Moves {
		c.tracker.Track(now, m, c.replicasOf(m.Service), kctconfig.EffectivePolicy(c.config, m.Service))
	}
}

func (c *Controller) replicasOf(service kctport.ServiceName) []*kctport.Replica {
	if s := c.views.View().Services[service]; s != nil {
		return s.Replicas
	}
	return nil
}

func (c *Controller) decide(now time.Time, m kctport.Move) {
	next, changed := c.tracker.Decide(now, m, c.replicasOf(m.Service), kctconfig.EffectivePolicy(c.config, m.Service))
	if !changed {
		return
	}
	next.Holder = c.self.ID
	next.Epoch = m.Epoch + 1
	request := kctport.ChangeRequest{
		ID: progressID(next), Author: string(c.self.ID), Kind: kctport.UpdateMove, Move: next,
	}
	c.send(func(ctx context.Context) { c.Change(ctx, request) })
}

func (c *Controller) report(holder kctport.Member, reports []kctport.MoveReport) {
	if len(reports) == 0 {
		return
	}
	c.sendTo(holder, func(ctx context.Context, holder kctport.Member) {
		// A lost report is made up by the following ones.
		_ = c.ports.Peers.Report(ctx, holder, reports)
	})
}
