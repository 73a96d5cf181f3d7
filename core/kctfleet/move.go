package kctfleet

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
)

const (
	// moveWarmup is how long a new endpoint's latencies are no evidence; endpoints at current sites stay cold for 3 s.
	moveWarmup = 4 * time.Second
	// saveTimeout bounds the write of a move's progress.
	saveTimeout = time.Second
	// savePause is how long the next decision waits for the record of the last one to arrive.
	savePause = watchPause + heartbeatInterval
	// observationBuffer holds the attempts of several ticks at the highest rate of one entry; further ones are dropped.
	observationBuffer = 4096
)

// mover tracks the version moves of services. The store holds the progress of each; the reader of the first zone, the holder, advances it, with the counts
// of all entries. Every entry may stop a version on its own evidence. The control goroutine owns a mover.
type mover struct {
	tracker *kctmove.Tracker
	// saving holds the services whose progress is being written, with the revision that it replaces.
	saving map[kctport.ServiceName]kctport.StoreRevision
	// stops holds the versions that this entry or another one has found bad, by move identifier.
	stops map[string]kctport.MoveReport
	// requestedAt is when this entry saw the request of each move, by move identifier, for those that it saw as they were made.
	requestedAt map[string]time.Time
	// advancedAt and reportedAt are when moves were last advanced, and when counts were last sent.
	advancedAt, reportedAt time.Time
}

func newMover(e kctmove.Exposure) *mover {
	return &mover{
		tracker: kctmove.NewTracker(kctmove.WithReportsByEndpoint(), kctmove.WithWarmupFromStart(), kctmove.WithExposure(e)), saving: map[kctport.ServiceName]kctport.StoreRevision{},
		stops: map[string]kctport.MoveReport{}, requestedAt: map[string]time.Time{},
	}
}

// moveWrite is a write of a move's progress, conditional on the expected revision.
type moveWrite struct {
	progress kctport.MoveProgress
	expected kctport.StoreRevision
}

// requestedMove is an operator's move request with the tier's progress on it, nil without any.
type requestedMove struct {
	kctport.MoveRequest
	id       string
	progress *kctport.MoveProgress
	// revision is that of the service's progress record, zero without one, and unsaved is set when the store doesn't have the progress.
	revision kctport.StoreRevision
	unsaved  bool
}

// moveID identifies a move by the record of its request: the same request made again is another move.
func moveID(request kctport.RegistryChange) string {
	return fmt.Sprintf("%s@%d", request.Move.To, request.Revision.Number)
}

// recordRequest notes when a move was requested, unless the change may be old.
func (s *state) recordRequest(now time.Time, old *record, c kctport.RegistryChange) {
	switch {
	case c.Move == nil:
	case s.isRewritten(now, old, c):
		s.continueMove(old, c)
	case !s.readsAll:
		s.mover.requestedAt[moveID(c)] = now
	}
}

// isRewritten reports whether the operator has written a request again, after the store came back from an older copy.
func (s *state) isRewritten(now time.Time, old *record, c kctport.RegistryChange) bool {
	return old != nil && old.Move != nil && *old.Move == *c.Move && s.contact.inRestoreGrace(now)
}

// continueMove lets the progress of a move, and the time of its request, count for the request as the operator has written it again.
func (s *state) continueMove(old *record, c kctport.RegistryChange) {
	if at, ok := s.mover.requestedAt[moveID(old.RegistryChange)]; ok {
		s.mover.requestedAt[moveID(c)] = at
	}
	for _, r := range s.moveRecords {
		if r.Progress != nil && r.Progress.ID == moveID(old.RegistryChange) {
			progress := *r.Progress
			progress.ID = moveID(c)
			r.Progress, r.unsaved = &progress, true
		}
	}
}

// requestedMoves returns the operators' move requests by service.
func (s *state) requestedMoves() map[kctport.ServiceName]requestedMove {
	byService := map[kctport.ServiceName]requestedMove{}
	for _, r := range s.moveRecords {
		if r.Move != nil {
			byService[r.Move.Service] = requestedMove{MoveRequest: *r.Move, id: moveID(r.RegistryChange)}
		}
	}
	for _, r := range s.moveRecords {
		if r.Progress == nil {
			continue
		}
		o, ok := byService[r.Progress.Service]
		if !ok {
			continue
		}
		if r.missingSince.IsZero() {
			o.revision = r.Revision
		}
		if r.Progress.ID == o.id {
			o.progress, o.unsaved = r.Progress, r.unsaved
		}
		byService[r.Progress.Service] = o
	}
	return byService
}

// moveShares returns the share of each moving service that goes to the new version, 0 until the move has begun.
func (s *state) moveShares(now time.Time) map[kctport.ServiceName]kctport.MoveShare {
	moveShares := map[kctport.ServiceName]kctport.MoveShare{}
	for service, o := range s.requestedMoves() {
		share := kctport.MoveShare{ID: o.id, To: o.To}
		if p := o.progress; p != nil {
			share.From, share.Share, share.Evaluating = p.From, p.Share, p.State == kctport.MoveRunning
			if _, stopped := s.isStopped(now, p.Move); stopped && p.State == kctport.MoveRunning {
				share.Share = 0
			}
		}
		moveShares[service] = share
	}
	return moveShares
}

// newProgress returns the first progress record of a move; the old version is the one that most endpoints have.
func (s *state) newProgress(now time.Time, o requestedMove) kctport.MoveProgress {
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
	if at, ok := s.mover.requestedAt[o.id]; ok {
		now = at
	}
	return kctport.MoveProgress{Move: kctport.Move{
		ID: o.id, Service: o.Service, From: from, To: o.To, Started: now, Deadline: now.Add(o.Duration),
		State: kctport.MoveRunning, Holder: s.self.ID, Evidence: "asked for by the operator",
	}}
}

// decideMoves decides the next step of each move and returns the writes for it.
func (s *state) decideMoves(now time.Time) []moveWrite {
	var saves []moveWrite
	requested := s.requestedMoves()
	s.mover.forget(requested)
	for _, o := range requested {
		s.trackMove(now, o)
		if replaced, ok := s.mover.saving[o.Service]; ok && !replaced.Before(o.revision) {
			continue
		}
		delete(s.mover.saving, o.Service)
		if p, changed := s.decideMove(now, o); changed {
			p.Holder = s.self.ID
			s.mover.saving[o.Service] = o.revision
			saves = append(saves, moveWrite{p, o.revision})
		}
	}
	return saves
}

// forget drops what is known of moves that are no longer requested.
func (m *mover) forget(requested map[kctport.ServiceName]requestedMove) {
	current := map[string]bool{}
	for _, o := range requested {
		current[o.id] = true
	}
	maps.DeleteFunc(m.stops, func(id string, _ kctport.MoveReport) bool { return !current[id] })
	maps.DeleteFunc(m.requestedAt, func(id string, _ time.Time) bool { return !current[id] })
}

// local returns a move with the times of its request by this entry's clock, if it saw the request as it was made: the clocks of entries differ, and may jump.
func (s *state) local(move kctport.Move) kctport.Move {
	if at, ok := s.mover.requestedAt[move.ID]; ok {
		move.Started, move.Deadline = at, at.Add(move.Deadline.Sub(move.Started))
	}
	return move
}

// movePolicy is the policy of all services: the platform has none of its own.
var movePolicy = kctport.Policy{Warmup: moveWarmup}

// trackMove updates the evidence on a move.
func (s *state) trackMove(now time.Time, o requestedMove) {
	if o.progress != nil {
		s.mover.tracker.Track(now, s.local(o.progress.Move), s.replicas(o.Service), movePolicy)
	}
}

// decideMove returns the next progress of a move, and false when it stays as it is. The holder decides; other entries only take back a version that they have
// found bad themselves.
func (s *state) decideMove(now time.Time, o requestedMove) (kctport.MoveProgress, bool) {
	holder, ok := s.moveHolder()
	isHolder := ok && holder == s.self.ID
	p := o.progress
	if p == nil {
		return s.newProgress(now, o), isHolder
	}
	if o.unsaved && isHolder {
		return *p, true
	}
	if p.State == kctport.MoveDone && !p.Announced {
		// An entry of a former version has ended the move and not announced it.
		next := *p
		next.Announced = true
		return next, isHolder
	}
	if p.State != kctport.MoveRunning {
		return *p, false
	}
	if stop, stopped := s.isStopped(now, p.Move); stopped {
		next := *p
		next.State, next.Share, next.Evidence = kctport.MoveReverted, 0, "bad: "+stop.Evidence
		return next, isHolder || stop.From == s.self.ID
	}
	if !isHolder {
		return *p, false
	}
	move, changed := s.mover.tracker.Decide(now, s.local(p.Move), s.replicas(o.Service), movePolicy)
	move.Started, move.Deadline = p.Started, p.Deadline
	return kctport.MoveProgress{Move: move, Announced: move.State == kctport.MoveDone}, changed
}

// moveHolder returns the entry that advances moves, the reader of the first zone that has one, and false without one.
func (s *state) moveHolder() (kctport.InstanceID, bool) {
	readers := s.readers()
	if len(readers) == 0 || readers[0].ID == s.self.ID && s.draining {
		return "", false
	}
	return readers[0].ID, true
}

// replicas lists the endpoints of a service for the move tracker, sorted by identifier.
func (s *state) replicas(service kctport.ServiceName) []*kctport.Replica {
	var list []*kctport.Replica
	outOfService := s.zonesOutOfService()
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
			Health:   health, Usable: !e.Leaving && !outOfService[e.Zone],
			Status: kctport.Status{BootID: uint64(max(0, e.Started.UnixMilli()))},
		})
	}
	slices.SortFunc(list, func(a, b *kctport.Replica) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Observe queues an attempt at an endpoint of a moving service; it never blocks, and drops the attempt when the queue is full.
func (c *Controller) Observe(o kctport.Observation) {
	if m, ok := c.Fleet().Moves[o.Service]; !ok || !m.Evaluating {
		return
	}
	select {
	case c.observations <- o:
	default:
	}
}

// recordObservations passes the queued observations to the tracker.
func (c *Controller) recordObservations(s *state, now time.Time) {
	for {
		select {
		case o := <-c.observations:
			s.mover.tracker.Observe(now, []kctport.Observation{o})
		default:
			return
		}
	}
}

// advanceMoves decides on the control goroutine and starts the writes on others.
func (c *Controller) advanceMoves(ctx context.Context, s *state, now time.Time) []event {
	if len(s.moveRecords) == 0 || now.Sub(s.mover.advancedAt) < moveInterval {
		return nil
	}
	s.mover.advancedAt = now
	c.recordObservations(s, now)
	saves := s.decideMoves(now)
	c.sendEvidence(s, now)
	for _, save := range saves {
		p := save.progress
		c.log.LogChange("move decided", string(p.Service), fmt.Sprintf("%s to %s: %s, share %.3g, announced %t, %.3g requests a second, %s",
			p.From, p.To, p.State, p.Share, p.Announced, p.Rate, p.Evidence), 0)
		c.pendingSaves.Go(func() { c.save(ctx, save) })
	}
	return nil
}

// hasNewEvidence reports whether there is evidence against a version to which the published fleet state still sends traffic.
func (c *Controller) hasNewEvidence(s *state, now time.Time) bool {
	for service, o := range s.requestedMoves() {
		if o.progress == nil || o.progress.State != kctport.MoveRunning || c.Fleet().Moves[service].Share == 0 {
			continue
		}
		if _, stopped := s.isStopped(now, o.progress.Move); stopped {
			return true
		}
	}
	return false
}

// save writes a move's progress; the result arrives as a change of the record.
func (c *Controller) save(ctx context.Context, m moveWrite) {
	callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := c.registry.SaveMove(callCtx, m.progress, m.expected); err != nil {
		c.log.LogChange("move not saved", string(m.progress.Service), err.Error(), 0)
	}
	// The progress written by this entry, or by another one before it, must arrive before the next decision.
	c.pause(ctx, savePause)
	c.update(ctx, func(s *state, _ time.Time) []event {
		if replaced, ok := s.mover.saving[m.progress.Service]; ok && replaced == m.expected {
			delete(s.mover.saving, m.progress.Service)
		}
		return nil
	})
}
