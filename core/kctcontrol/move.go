package kctcontrol

import (
	"context"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/core/kctmember"
)

// movePeriod is how often control evaluates running moves and reports evidence.
const movePeriod = 500 * time.Millisecond

// stopMoves stops traffic to new versions on this entry's own evidence, before the holder decides.
func (c *Controller) stopMoves(now time.Time) {
	for _, m := range c.config.Moves {
		if m.State != kctport.MoveRunning || c.stopped[m.ID] != "" {
			continue
		}
		if stop, evidence := c.tracker.Stopped(now, m); stop {
			c.stopped[m.ID] = evidence
			c.broadcastStop(m, evidence)
			c.dirty[m.Service] = true
			c.publish(now)
		}
	}
}

// advanceMoves sends evidence to the holder of each running move, or decides on the move when this entry is the holder.
func (c *Controller) advanceMoves(now time.Time) {
	if now.Sub(c.lastMoveCheck) < movePeriod {
		return
	}
	c.lastMoveCheck = now
	c.trackMoves(now)
	c.stopMoves(now)
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
			c.decideMove(now, m)
			continue
		}
		c.sendMoveReports(holder, reportsOf(reports, m.ID))
	}
}

// broadcastStop reports a stop to all peers, so that those without evidence stop too while the store is unavailable.
func (c *Controller) broadcastStop(m kctport.Move, evidence string) {
	stop := []kctport.MoveReport{{From: c.self.ID, Move: m.ID, Version: m.To, Stopped: true, Evidence: evidence}}
	for _, p := range c.members.peers {
		c.sendMoveReports(p, stop)
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

// holder returns the live member that decides on a move; rendezvous hashing keeps it stable while other members change.
func (c *Controller) holder(m kctport.Move) kctport.Member {
	best := c.self
	for _, p := range c.members.peers {
		if kctmember.Score(m.ID, p.ID) > kctmember.Score(m.ID, best.ID) {
			best = p
		}
	}
	return best
}

// trackMoves passes each move, its endpoints and its policy to the tracker.
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

func (c *Controller) decideMove(now time.Time, m kctport.Move) {
	next, changed := c.tracker.Decide(now, m, c.replicasOf(m.Service), kctconfig.EffectivePolicy(c.config, m.Service))
	if !changed {
		return
	}
	next.Holder = c.self.ID
	next.Epoch = m.Epoch + 1
	request := kctport.ChangeRequest{
		ID: progressID(next), Author: string(c.self.ID), Kind: kctport.UpdateMove, Move: next,
	}
	c.spawn(func(ctx context.Context) { c.Change(ctx, request) })
}

func (c *Controller) sendMoveReports(holder kctport.Member, reports []kctport.MoveReport) {
	if len(reports) == 0 {
		return
	}
	c.sendTo(holder, func(ctx context.Context, holder kctport.Member) {
		// A lost report is not resent; later reports bring further evidence.
		_ = c.ports.Peers.Report(ctx, holder, reports)
	})
}
