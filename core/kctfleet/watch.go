package kctfleet

import (
	"context"
	"time"
)

// watch watches the store and passes its changes on, as the zone's reader with a claim or in place of one without, until the context ends or another
// entry can be followed instead. The claim, if any, is given up at the end, or as soon as this entry leaves.
func (l *sourceLoop) watch(ctx context.Context, held *claim) {
	detail := "in place of a reader"
	if held != nil {
		detail = "as the reader of " + string(l.self.Zone)
	}
	l.log.LogChange("watching the store", string(l.self.ID), detail, 0)
	watchCtx, cancel := context.WithCancel(ctx)
	store, peers := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(store)
		l.followStore(watchCtx)
	}()
	go func() {
		defer close(peers)
		l.followPeers(watchCtx)
	}()
	held = l.holdZone(ctx, held)
	cancel()
	<-store
	<-peers
	if held != nil {
		l.giveUp(ctx, held)
	}
	l.log.LogChange("store no longer watched", string(l.self.ID), "", 0)
}

// holdZone claims the zone when it has no reader, renews the lease, and returns the claim when this entry should no longer watch the store.
func (l *sourceLoop) holdZone(ctx context.Context, held *claim) *claim {
	started := l.timer.Now()
	for ctx.Err() == nil {
		now := l.timer.Now()
		if _, taken := l.zoneReader(*l.readers.Load()); taken && held != nil && l.contact.Load().ownAnswers {
			l.log.LogChange("zone lost to another reader", string(l.self.Zone), "", 0)
			held = nil
		}
		if held != nil && l.leaving.Load() {
			l.giveUp(ctx, held)
			held = nil
		}
		switch {
		case held != nil && !now.Before(held.renewAt):
			if !l.renew(ctx, held) {
				held = l.claim(ctx)
			}
		case held == nil && l.contact.Load().ownAnswers && l.claimDue(now):
			held = l.claim(ctx)
		case l.shouldFollow(now, started, held):
			if l.changeHub(ctx, l.scan(ctx, *l.readers.Load())) {
				return held
			}
			started = now
		}
		if l.hub != nil && (l.hub.hasEnded() || l.contact.Load().ownAnswers) {
			l.dropHub()
		}
		l.wait(ctx)
	}
	return held
}

// shouldFollow reports whether following another entry is better than watching the store: another one is the zone's reader, or this one gets no answers.
func (l *sourceLoop) shouldFollow(now, started time.Time, held *claim) bool {
	v := l.contact.Load()
	_, taken := l.zoneReader(*l.readers.Load())
	switch {
	case v.ownAnswers:
		return held == nil && now.Sub(started) >= aloneTime
	case !v.lostSince.IsZero():
		return false
	}
	return now.Sub(started) >= peerPreference && (held == nil || taken)
}
