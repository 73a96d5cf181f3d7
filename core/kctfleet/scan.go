package kctfleet

import (
	"context"
	"errors"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// scanTimeout bounds a round of questions.
	scanTimeout = 400 * time.Millisecond
	// failureRetention is how long an entry that did not answer comes last in its zone, and silenceRetention how long it isn't asked again: one that is out of
	// reach costs each round its whole time.
	failureRetention = leaseTTL
	silenceRetention = time.Second
	// otherCandidates is the number of readers of other zones that an entry asks in one round, and standIns that of the entries of its own zone which
	// watch the store first when no reader does.
	otherCandidates = 3
	standIns        = 2
)

// candidates lists the entries to ask for contact, the preferred ones first: the zone's reader, some readers of other zones, and the entries of the
// zone that watch the store first when no reader does.
func (l *sourceLoop) candidates(readers []kctport.EntryRecord) []kctport.EntryRecord {
	others := slices.Clone(readers)
	l.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var list []kctport.EntryRecord
	if r, ok := l.zoneReader(readers); ok {
		list = append(list, r)
	}
	for _, r := range others {
		if r.Zone != l.self.Zone && len(list) <= otherCandidates {
			list = append(list, r)
		}
	}
	for i, e := range l.zoneEntries() {
		if i < standIns && !slices.ContainsFunc(list, func(r kctport.EntryRecord) bool { return r.ID == e.ID }) {
			list = append(list, e)
		}
	}
	return slices.DeleteFunc(list, func(e kctport.EntryRecord) bool {
		return e.ID == l.self.ID || l.hub != nil && e.ID == l.hub.entry.ID || l.failedWithin(e, silenceRetention)
	})
}

// answer is what a candidate says of its contact with the store.
type answer struct {
	candidate int
	contact   kctport.StoreContact
	err       error
}

// scan returns the preferred candidate that is in contact with the store; with no hub and none in contact, the first that answers, which passes on what
// it has.
func (l *sourceLoop) scan(ctx context.Context, readers []kctport.EntryRecord) *kctport.EntryRecord {
	candidates := l.candidates(readers)
	inContact, reachable := l.ask(ctx, candidates)
	switch {
	case inContact < len(candidates):
		return &candidates[inContact]
	case l.hub == nil && reachable < len(candidates):
		return &candidates[reachable]
	}
	return nil
}

// ask asks all candidates at once; it returns the index of the first one that is in contact with the store and of the first other one that answers, and
// the number of candidates where there is none.
func (l *sourceLoop) ask(ctx context.Context, candidates []kctport.EntryRecord) (inContact, reachable int) {
	callCtx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	answers := make(chan answer, len(candidates))
	for i, e := range candidates {
		go func() {
			contact, err := l.feed.Contact(callCtx, e, l.Self())
			answers <- answer{i, contact, err}
		}()
	}
	inContact, reachable = len(candidates), len(candidates)
	answered := make([]bool, len(candidates))
	for range candidates {
		a := <-answers
		answered[a.candidate] = true
		switch {
		case a.err != nil:
			if !errors.Is(callCtx.Err(), context.Canceled) {
				l.recordFailure(candidates[a.candidate].ID)
			}
		case l.isSource(a.contact):
			inContact = min(inContact, a.candidate)
		default:
			reachable = min(reachable, a.candidate)
		}
		if inContact < len(candidates) && !slices.Contains(answered[:inContact], false) {
			// The others are not waited for, but for the end of their calls.
			cancel()
		}
	}
	return inContact, reachable
}

// isSource reports whether an entry with this contact can be followed.
func (l *sourceLoop) isSource(c kctport.StoreContact) bool {
	return c.Watcher != "" && c.Watcher != l.self.ID && c.Hops < maxHops && c.Age < l.maxAge
}
