package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"
)

// drainTime is drain-ms.
const drainTime = 3 * time.Second

// playDrill brings the store back from a copy that is some seconds old, after a server that had started again has said that it leaves.
func playDrill(w *world, trouble bool) (bool, error) {
	if err := w.kupci(6, "non_idempotent", func(int) time.Duration { return time.Duration(80+rand.IntN(160)) * time.Millisecond }); err != nil {
		return false, err
	}
	if err := w.startEntries("metkovic", "opuzen", "ploce"); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := w.startClients(ctx, 40)
	time.Sleep(5 * time.Second)
	taken := time.Now()
	former := w.store.copy()
	w.say("a copy of the store is taken")
	s := w.servers[0]
	s.end()
	time.Sleep(300 * time.Millisecond)
	if err := s.start(false); err != nil {
		return false, err
	}
	w.say("server %s has started again under its identifier", s.id)
	time.Sleep(1500 * time.Millisecond)
	// The server says so in its answers, its entry is removed, and it goes on serving.
	s.leave()
	left := time.Now()
	w.say("server %s leaves", s.id)
	time.Sleep(300 * time.Millisecond)
	w.store.leave(s.id)
	time.Sleep(time.Until(left.Add(drainTime + 500*time.Millisecond)))
	if trouble {
		w.store.setDown(true)
		w.say("the store is away")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.store.restore(former)
		for _, other := range w.servers {
			if other != s {
				other.beat()
			}
		}
		w.store.setDown(false)
		w.say("the store is back from the copy, %.1f s old", time.Since(taken).Seconds())
	}
	time.Sleep(250 * time.Millisecond)
	s.end()
	w.say("server %s ends", s.id)
	time.Sleep(3 * time.Second)
	stop()
	for _, c := range all {
		c.wait()
	}
	broken := w.judgeLeaving(s)
	w.reportLost(left.Add(drainTime))
	return broken, nil
}

// judgeLeaving reports whether a request reached a server that leaves, sent later than drain-ms after the same machine had passed on an answer that said so.
func (w *world) judgeLeaving(s *server) bool {
	passed, story := map[string]time.Time{}, w.story()
	for _, a := range story.runs {
		q, ok := story.requests[a.id]
		if !ok || a.server != s || q.header.Get("Server-Leaving") != "1" || !strings.HasPrefix(q.header.Get("Kingcupturn-Server-Stamp"), s.id+".") {
			continue
		}
		if t, ok := passed[q.via]; !ok || q.answered.Before(t) {
			passed[q.via] = q.answered
		}
	}
	late := 0
	for _, a := range story.runs {
		q, ok := story.requests[a.id]
		if !ok || a.server != s {
			continue
		}
		if t, ok := passed[q.via]; ok && q.sent.Sub(t) > drainTime {
			late++
			w.say("%s was sent %.3f s after the entry at %s had passed on that %s leaves, and reached it", q.id, q.sent.Sub(t).Seconds(), q.via, s.id)
		}
	}
	w.say("%d entries passed on that %s leaves; %d requests sent later than %v after that reached it", len(passed), s.id, late, drainTime)
	return late > 0
}
