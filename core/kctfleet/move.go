package kctfleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
)

const (
	// moveWarmup is how long a new endpoint's latencies are no evidence; endpoints of today's sites are cold for 3 s.
	moveWarmup = 4 * time.Second
	// announceWait lets the whole share be in force on all entries before the operator hears that the move is done and stops the old endpoints.
	announceWait = 3 * time.Second
	// saveTimeout bounds the write of a move.
	saveTimeout = time.Second
	// observationBuffer holds the attempts of some ticks at the largest rate of one entry; beyond it they are dropped.
	observationBuffer = 4096
)

// mover follows the moves of services to other versions. The store holds how far each has come. The reader of the first zone works on
// them; every entry takes a move back on its own evidence, since each sees only its own traffic. The control goroutine owns a mover.
type mover struct {
	self    kctport.InstanceID
	tracker *kctmove.Tracker
	// saving has the services whose record is being written.
	saving map[kctport.ServiceName]bool
	// done is when each finished move was first seen.
	done map[string]time.Time
}

func newMover(self kctport.InstanceID) *mover {
	return &mover{self: self, tracker: kctmove.NewTracker(), saving: map[kctport.ServiceName]bool{}, done: map[string]time.Time{}}
}

// saveMove is a write that the control goroutine asks for.
type saveMove struct {
	progress kctport.MoveProgress
	expected kctport.StoreRevision
}

// orderedMove is an operator's order with the tier's progress, if there is any for it.
type orderedMove struct {
	kctport.MoveRequest
	id       string
	progress *kctport.MoveProgress
	// revision is that of the record of progress, 0 without one.
	revision kctport.StoreRevision
}

// orders lists the operator's orders by service.
func (s *state) orders() map[kctport.ServiceName]orderedMove {
	found := map[kctport.ServiceName]orderedMove{}
	for _, r := range s.moving {
		if r.Move != nil {
			found[r.Move.Service] = orderedMove{MoveRequest: *r.Move, id: fmt.Sprintf("%s@%d", r.Move.To, r.Revision)}
		}
	}
	for _, r := range s.moving {
		if r.Progress == nil {
			continue
		}
		o, ok := found[r.Progress.Service]
		if !ok {
			continue
		}
		o.revision = r.Revision
		if r.Progress.ID == o.id {
			o.progress = r.Progress
		}
		found[r.Progress.Service] = o
	}
	return found
}

// shares tells traffic how much of each moving service goes to the new version; nothing does until the move has begun.
func (s *state) shares(now time.Time) map[kctport.ServiceName]kctport.MoveShare {
	shares := map[kctport.ServiceName]kctport.MoveShare{}
	for service, o := range s.orders() {
		share := kctport.MoveShare{ID: o.id, To: o.To}
		if p := o.progress; p != nil {
			share.From, share.Share, share.Evaluating = p.From, p.Share, p.State == kctport.MoveRunning
			if cut, _ := s.mover.tracker.Stopped(now, p.Move); cut {
				share.Share = 0
			}
		}
		shares[service] = share
	}
	return shares
}

// begin is the first record of a move: the old version is the one that most endpoints have.
func (s *state) begin(now time.Time, o orderedMove) kctport.MoveProgress {
	counts := map[kctport.VersionName]int{}
	for _, r := range s.records {
		if r.Endpoint != nil && r.Endpoint.Service == o.Service && r.Endpoint.Version != o.To && !r.Endpoint.Leaving {
			counts[r.Endpoint.Version]++
		}
	}
	var from kctport.VersionName
	for version, n := range counts {
		if n > counts[from] || n == counts[from] && version < from {
			from = version
		}
	}
	return kctport.MoveProgress{Move: kctport.Move{
		ID: o.id, Service: o.Service, From: from, To: o.To, Started: now, Deadline: now.Add(o.Duration),
		State: kctport.MoveRunning, Holder: s.self.ID, Evidence: "asked for by the operator",
	}}
}

// moves decides what becomes of each move and returns the writes that this takes.
func (s *state) moves(now time.Time) []saveMove {
	var saves []saveMove
	for _, o := range s.orders() {
		if s.mover.saving[o.Service] {
			continue
		}
		if p, changed := s.decide(now, o); changed {
			p.Holder = s.self.ID
			s.mover.saving[o.Service] = true
			saves = append(saves, saveMove{p, o.revision})
		}
	}
	return saves
}

// decide returns the next record of a move, and false when it stays as it is.
func (s *state) decide(now time.Time, o orderedMove) (kctport.MoveProgress, bool) {
	holds := s.holdsMoves()
	p := o.progress
	if p == nil {
		return s.begin(now, o), holds
	}
	if p.State == kctport.MoveDone && !p.Announced {
		if s.mover.done[p.ID].IsZero() {
			s.mover.done[p.ID] = now
		}
		next := *p
		next.Announced = true
		return next, holds && now.Sub(s.mover.done[p.ID]) >= announceWait
	}
	if p.State != kctport.MoveRunning {
		return *p, false
	}
	replicas, policy := s.replicas(o.Service), kctport.Policy{Warmup: moveWarmup}
	s.mover.tracker.Track(now, p.Move, replicas, policy)
	if cut, evidence := s.mover.tracker.Stopped(now, p.Move); cut {
		next := *p
		next.State, next.Share, next.Evidence = kctport.MoveReverted, 0, "bad: "+evidence
		return next, true
	}
	if !holds {
		return *p, false
	}
	move, changed := s.mover.tracker.Decide(now, p.Move, replicas, policy)
	return kctport.MoveProgress{Move: move}, changed
}

// holdsMoves reports whether this entry works on moves: it is the reader of the first zone that has one.
func (s *state) holdsMoves() bool {
	readers := s.readers()
	return len(readers) > 0 && readers[0].ID == s.self.ID && !s.draining
}

// replicas lists the endpoints of a service for the tracker of moves.
func (s *state) replicas(service kctport.ServiceName) []*kctport.Replica {
	var list []*kctport.Replica
	out := s.zonesOut()
	for _, r := range s.records {
		e := r.Endpoint
		if e == nil || e.Service != service {
			continue
		}
		health := kctport.HealthOK
		if e.ColdRemaining > 0 {
			health = kctport.HealthCold
		}
		list = append(list, &kctport.Replica{
			Endpoint: kctport.Endpoint{ID: e.ID, Service: e.Service, Zone: e.Zone, Version: e.Version, Address: e.Address, Leaving: e.Leaving},
			Health:   health, Usable: !e.Leaving && !out[e.Zone],
			Status: kctport.Status{BootID: uint64(max(0, e.Started.UnixMilli()))},
		})
	}
	slices.SortFunc(list, func(a, b *kctport.Replica) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Observe takes an attempt at an endpoint of a moving service; it never blocks, and drops what control is too slow for.
func (c *Controller) Observe(o kctport.Observation) {
	if m, ok := c.Fleet().Moves[o.Service]; !ok || !m.Evaluating {
		return
	}
	select {
	case c.observations <- o:
	default:
	}
}

// observed hands the waiting observations to the tracker.
func (c *Controller) observed(s *state, now time.Time) {
	for {
		select {
		case o := <-c.observations:
			s.mover.tracker.Observe(now, []kctport.Observation{o})
		default:
			return
		}
	}
}

// workOnMoves decides on the control goroutine and leaves the writes to others.
func (c *Controller) workOnMoves(ctx context.Context, s *state, now time.Time) {
	c.observed(s, now)
	for _, save := range s.moves(now) {
		p := save.progress
		c.log.LogChange("move decided", string(p.Service), fmt.Sprintf("%s to %s: %s, share %.3g, announced %t, %s", p.From, p.To, p.State, p.Share, p.Announced, p.Evidence), 0)
		c.saves.Go(func() { c.save(ctx, save) })
	}
}

// cutsMove reports whether this entry has just found evidence against a version that the picture still gives work.
func (c *Controller) cutsMove(s *state, now time.Time) bool {
	for service, o := range s.orders() {
		if o.progress == nil || c.Fleet().Moves[service].Share == 0 {
			continue
		}
		if cut, _ := s.mover.tracker.Stopped(now, o.progress.Move); cut {
			return true
		}
	}
	return false
}

// save writes a move; what became of it comes back as a change of the record.
func (c *Controller) save(ctx context.Context, m saveMove) {
	call, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := c.registry.SaveMove(call, m.progress, m.expected); err != nil {
		c.log.LogChange("move not saved", string(m.progress.Service), err.Error(), 0)
	}
	// The record of this entry or of a faster one must arrive before the next decision.
	c.pause(ctx, watchPause+feedInterval)
	c.update(ctx, func(s *state, _ time.Time) []event {
		delete(s.mover.saving, m.progress.Service)
		return nil
	})
}
