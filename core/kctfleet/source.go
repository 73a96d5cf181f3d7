package kctfleet

import (
	"context"
	"errors"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// startJitter spreads the first calls of entries that start together.
	startJitter = 400 * time.Millisecond
	// switchJitter spreads the subscriptions of entries that change to the new reader of their zone, each of which costs a full update.
	switchJitter = 500 * time.Millisecond
	// switchInterval is the shortest time between two such changes.
	switchInterval = leaseTTL
	// shortCallTimeout bounds the calls that precede a choice of source: a starting entry serves no callers until it has one, and after an outage the
	// store answers a new call sooner than one that was lost in the outage.
	shortCallTimeout = 400 * time.Millisecond
	// lossTolerance is how long contact may be lost before an entry looks for another source: longer than a reader takes to repeat a call whose answer
	// was lost, and short enough for changes to take effect within the required 3 s by another source.
	lossTolerance = 300 * time.Millisecond
	// scanInterval is the time between two rounds of questions to other entries while contact is lost.
	scanInterval = 600 * time.Millisecond
	// probeInterval is the time between two calls of the store by the first entry of a zone while contact is lost. Each next one waits half of it
	// longer, so that the calls of a zone grow with the logarithm of its size.
	probeInterval = 500 * time.Millisecond
	// readersWait lets readers that have just reached the store again, or have just claimed a zone, show contact before another entry watches the store.
	readersWait = 150 * time.Millisecond
	// aloneTime is how long an entry that watches the store without being a reader does so before it changes to a reader in contact.
	aloneTime = 3 * time.Second
	// peerPreference is how long a reader without answers of its own keeps trying before it changes to another reader in contact.
	peerPreference = time.Second
	// sourceCheckInterval is how often an entry checks its source when nothing happens, and lostCheckInterval while it has no contact.
	sourceCheckInterval = 250 * time.Millisecond
	lostCheckInterval   = 100 * time.Millisecond
)

// sourceLoop chooses where this entry's state comes from: its own watch of the store, as the reader of its zone or in place of one, or another entry
// in contact with the store. The source goroutine owns it.
type sourceLoop struct {
	*Controller
	// hub is the entry that is followed, nil while this entry watches the store or reaches no other entry.
	hub *link
	// vacantSince is when the zone was first found without a reader, zero while it has one, and claimAfter when this entry may try to become it.
	vacantSince, claimAfter time.Time
	// lastScan and lastProbe are the times of the last questions to other entries and to the store without contact; answeredAt is when the store
	// first answered one, zero before and while there is contact.
	lastScan, lastProbe, answeredAt time.Time
	// switchAt is when to change to the zone's reader, zero when that is not planned, and switchAfter when to plan it again.
	switchAt, switchAfter time.Time
	// failures is when an entry last did not answer, or its feed ended.
	failures map[kctport.InstanceID]time.Time
}

// source keeps the state up to date until the context ends.
func (c *Controller) source(ctx context.Context) {
	l := &sourceLoop{Controller: c, failures: map[kctport.InstanceID]time.Time{}}
	c.loadOnce(ctx)
	c.pause(ctx, time.Duration(c.random.Int64N(int64(startJitter))))
	for ctx.Err() == nil {
		l.step(ctx)
		l.wait(ctx)
	}
	l.dropHub()
}

// wait waits until the contact with the store changes or the next check is due.
func (l *sourceLoop) wait(ctx context.Context) {
	interval := sourceCheckInterval
	if !l.contact.Load().lostSince.IsZero() {
		interval = lostCheckInterval
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-l.timer.After(ctx, interval):
	case <-l.contactChanged:
	}
}

// loadOnce reads the store once. A starting entry serves no callers until it has a fleet state, and after a power failure the readers in the
// store's records have no more state than this entry. Without an answer in time other entries are tried, whose feeds are compressed.
func (c *Controller) loadOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	l, err := c.registry.Load(callCtx)
	if err != nil {
		c.log.LogChange("store not read at the start", "", err.Error(), 0)
		return
	}
	c.update(ctx, func(s *state, now time.Time) []event { return s.applyLoaded(now, l) })
}

// step makes the next change of the source, if one is due.
func (l *sourceLoop) step(ctx context.Context) {
	now := l.timer.Now()
	if l.hub != nil && l.hub.hasEnded() {
		l.recordFailure(l.hub.entry.ID)
		l.hub = nil
	}
	v := l.contact.Load()
	if v.lostSince.IsZero() {
		l.answeredAt = time.Time{}
	}
	switch {
	case !v.lostSince.IsZero() && (l.hub == nil || now.Sub(v.lostSince) >= lossTolerance):
		l.seek(ctx, now)
	case l.hub == nil:
		l.changeHub(ctx, l.scan(ctx, *l.readers.Load()))
	case l.claimDue(now):
		if held := l.claim(ctx); held != nil {
			l.watch(ctx, held)
		}
	default:
		l.preferZoneReader(ctx, now)
	}
}

// seek looks for contact with the store: first another entry that has it, then the store itself, when it is this entry's turn.
func (l *sourceLoop) seek(ctx context.Context, now time.Time) {
	readers := *l.readers.Load()
	// Without an entry to follow there is no state to stay with, so that the readers are asked more often.
	if now.Sub(l.lastScan) >= scanInterval || l.hub == nil && len(readers) > 0 && now.Sub(l.lastScan) >= lostCheckInterval {
		l.lastScan = now
		if l.changeHub(ctx, l.scan(ctx, readers)) {
			return
		}
		now = l.timer.Now()
	}
	rank := l.rank()
	switch {
	case !l.answeredAt.IsZero() && now.Sub(l.answeredAt) >= readersWait+turn(rank):
		// Those before it may have begun to watch meanwhile.
		if !l.changeHub(ctx, l.scan(ctx, readers)) {
			l.watch(ctx, nil)
		}
	case now.Sub(l.lastProbe) >= probeInterval*time.Duration(2+rank)/2 && now.Sub(l.contact.Load().lostSince) >= turn(rank):
		l.probe(ctx, now)
	}
}

// probe asks the store for the readers. When it answers, this entry claims its zone if that has no reader, or follows a reader that it did not know.
func (l *sourceLoop) probe(ctx context.Context, now time.Time) {
	l.lastProbe = now
	readers, err := l.storedReaders(ctx)
	if err != nil {
		l.answeredAt = time.Time{}
		return
	}
	if _, taken := l.zoneReader(readers); !taken && l.mayClaim(now) {
		if held := l.claim(ctx); held != nil {
			l.watch(ctx, held)
			return
		}
		if readers, err = l.storedReaders(ctx); err != nil {
			return
		}
	}
	if l.answeredAt.IsZero() {
		l.answeredAt = l.timer.Now()
	}
	known := *l.readers.Load()
	unknown := slices.DeleteFunc(readers, func(r kctport.EntryRecord) bool {
		return slices.ContainsFunc(known, func(k kctport.EntryRecord) bool { return k.ID == r.ID })
	})
	if len(unknown) > 0 {
		l.changeHub(ctx, l.scan(ctx, unknown))
	}
}

// storedReaders returns the readers on record in the store.
func (l *sourceLoop) storedReaders(ctx context.Context) ([]kctport.EntryRecord, error) {
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	readers, err := l.registry.Readers(callCtx)
	l.update(ctx, func(s *state, now time.Time) []event {
		if err != nil {
			s.contact.ownFailure(err.Error())
		} else {
			s.contact.ownReply(now)
		}
		return s.contact.assess(now)
	})
	return readers, err
}

// changeHub follows an entry in place of the former one, if its feed works; it returns whether this entry is then in contact with the store.
func (l *sourceLoop) changeHub(ctx context.Context, entry *kctport.EntryRecord) bool {
	if entry == nil {
		return false
	}
	next := l.openHub(ctx, *entry)
	select {
	case <-next.updated:
	case <-next.done:
		l.recordFailure(entry.ID)
		return false
	}
	l.dropHub()
	l.hub, l.switchAt = next, time.Time{}
	// The control goroutine takes the next update only after it has published the effect of the one before.
	l.update(ctx, func(*state, time.Time) []event { return nil })
	return l.contact.Load().lostSince.IsZero()
}

func (l *sourceLoop) dropHub() {
	if l.hub != nil {
		l.hub.close()
		l.hub = nil
	}
}

// mayClaim reports whether this entry may try to become its zone's reader.
func (l *sourceLoop) mayClaim(now time.Time) bool {
	return !l.leaving.Load() && !now.Before(l.claimAfter)
}

// claim makes this entry the reader of its zone; it returns nil when another entry is, or the store doesn't answer.
func (l *sourceLoop) claim(ctx context.Context) *claim {
	held, err := l.claimZone(ctx)
	l.claimAfter = l.timer.Now().Add(retryPause)
	if errors.Is(err, kctport.ErrConflict) {
		l.claimAfter = l.timer.Now().Add(claimInterval)
	}
	return held
}

// claimDue reports whether the zone has no reader and it is this entry's turn to become it.
func (l *sourceLoop) claimDue(now time.Time) bool {
	if _, taken := l.zoneReader(*l.readers.Load()); taken {
		l.vacantSince = time.Time{}
		return false
	}
	if l.vacantSince.IsZero() {
		l.vacantSince = now
	}
	return l.mayClaim(now) && now.Sub(l.vacantSince) >= time.Duration(l.rank())*claimStep
}

// preferZoneReader changes to the zone's reader from another entry.
func (l *sourceLoop) preferZoneReader(ctx context.Context, now time.Time) {
	r, ok := l.zoneReader(*l.readers.Load())
	switch {
	case !ok || r.ID == l.hub.entry.ID || now.Before(l.switchAfter):
		l.switchAt = time.Time{}
	case l.switchAt.IsZero():
		l.switchAt = now.Add(time.Duration(l.random.Int64N(int64(switchJitter))))
	case !now.Before(l.switchAt):
		l.switchAt, l.switchAfter = time.Time{}, now.Add(switchInterval)
		if inContact, _ := l.ask(ctx, []kctport.EntryRecord{r}); inContact == 0 {
			l.changeHub(ctx, &r)
		}
	}
}
