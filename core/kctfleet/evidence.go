package kctfleet

import (
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctmove"
)

// WithExposure sets the bound on the requests that a version gets before its move has ended.
func WithExposure(e kctmove.Exposure) Option {
	return func(c *Controller) { c.exposure = e }
}

// stopReports lists the versions that were stopped.
func (m *mover) stopReports() []kctport.MoveReport {
	var all []kctport.MoveReport
	for _, r := range m.stops {
		all = append(all, r)
	}
	return all
}

// isStopped reports whether this entry or another one has found a version bad, with the evidence.
func (s *state) isStopped(now time.Time, move kctport.Move) (kctport.MoveReport, bool) {
	if r, ok := s.mover.stops[move.ID]; ok {
		return r, true
	}
	if stopped, evidence := s.mover.tracker.Stopped(now, move); stopped {
		return kctport.MoveReport{From: s.self.ID, Move: move.ID, Version: move.To, Stopped: true, Evidence: evidence}, true
	}
	return kctport.MoveReport{}, false
}

// newStops records the versions that this entry has just found bad, and returns them.
func (s *state) newStops(now time.Time) []kctport.MoveReport {
	var stops []kctport.MoveReport
	for _, o := range s.requestedMoves() {
		if o.progress == nil || o.progress.State != kctport.MoveRunning {
			continue
		}
		if _, known := s.mover.stops[o.id]; known {
			continue
		}
		if r, stopped := s.isStopped(now, o.progress.Move); stopped {
			s.mover.stops[o.id] = r
			stops = append(stops, r)
		}
	}
	return stops
}

// mergeMoves takes the reports of other entries. Counts go on to the holder over a direct link only, so that they don't circulate; stops go on to all. It runs
// on the control goroutine.
func (c *Controller) mergeMoves(s *state, now time.Time, from *link, reports []kctport.MoveReport) []event {
	var events []event
	var counts, stops []kctport.MoveReport
	for _, r := range reports {
		_, known := s.mover.stops[r.Move]
		switch {
		case r.From == s.self.ID || r.Stopped && known:
		case r.Stopped:
			s.mover.stops[r.Move] = r
			stops = append(stops, r)
			events = append(events, event{message: "version stopped by another entry", key: r.Move, detail: string(r.From) + ": " + r.Evidence})
		default:
			// A reader keeps the counts too, in case that it becomes the holder.
			s.mover.tracker.Merge(now, r.From, []kctport.MoveReport{r})
			counts = append(counts, r)
		}
	}
	if len(stops) > 0 {
		c.passOn(s, from, nil, stops)
	}
	if holder, ok := s.moveHolder(); ok && holder != s.self.ID {
		if l := c.linkTowards(holder); l != nil && l.entry.ID == holder {
			s.mover.tracker.Forward(counts)
		}
	}
	return events
}

const (
	// evidenceInterval is the time between two reports of an entry's counts, and evidencePerEntry what each entry of the fleet adds to it: many entries
	// have much evidence together.
	evidenceInterval = 200 * time.Millisecond
	evidencePerEntry = 200 * time.Microsecond
)

// sendEvidence sends this entry's counts, with those that it forwards, towards the holder, and its stops to all. Without an entry to send them to they wait.
func (c *Controller) sendEvidence(s *state, now time.Time) {
	if stops := s.newStops(now); len(stops) > 0 {
		c.passOn(s, nil, nil, stops)
	}
	holder, ok := s.moveHolder()
	if !ok || now.Sub(s.mover.reportedAt) < evidenceInterval+time.Duration(len(c.Fleet().Entries))*evidencePerEntry {
		return
	}
	l := c.linkTowards(holder)
	if holder != s.self.ID && l == nil {
		return
	}
	s.mover.reportedAt = now
	var counts []kctport.MoveReport
	for _, r := range s.mover.tracker.Reports(now) {
		if r.From = s.self.ID; !r.Stopped {
			counts = append(counts, r)
		}
	}
	if holder != s.self.ID {
		l.uplink.add(nil, counts)
	}
}
