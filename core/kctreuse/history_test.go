package kctreuse

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestMayReuse guards against requests that may not be repeated on connections of an endpoint that sends second copies, against repeats without end
// where each used connection has one, and against connections for each request of a sound endpoint.
func TestMayReuse(t *testing.T) {
	start := time.Unix(0, 0)
	// answers records answers 10 ms apart, of which each nth is dropped, none for 0.
	answers := func(h *History, nth int) time.Time {
		now := start
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			h.RecordAnswer(now, nth > 0 && i%nth == 0)
		}
		return now
	}
	for name, c := range map[string]struct {
		record             func(h *History) time.Time
		after              time.Duration
		repeatable, unique bool
	}{
		"nothing seen":               {func(*History) time.Time { return start }, 0, true, true},
		"sound answers":              {func(h *History) time.Time { return answers(h, 0) }, 0, true, true},
		"one in 25 dropped":          {func(h *History) time.Time { return answers(h, 25) }, 0, true, false},
		"one in 25, a minute before": {func(h *History) time.Time { return answers(h, 25) }, caution, true, true},
		"four dropped in a row": {func(h *History) time.Time {
			now := answers(h, 0)
			for range maxDropsInRow {
				h.RecordAnswer(now, true)
			}
			return now
		}, 0, false, false},
		"every second one dropped":    {func(h *History) time.Time { return answers(h, 2) }, 0, false, false},
		"every second, 20 s before":   {func(h *History) time.Time { return answers(h, 2) }, 20 * time.Second, true, false},
		"bytes on an idle connection": {func(h *History) time.Time { h.RecordCopy(start); return start }, time.Second, true, false},
		"idle bytes, a minute before": {func(h *History) time.Time { h.RecordCopy(start); return start }, caution, true, true},
	} {
		h := &History{}
		now := c.record(h).Add(c.after)
		if r, u := h.MayReuse(now, true), h.MayReuse(now, false); r != c.repeatable || u != c.unique {
			t.Errorf("%s: repeatable %v, not repeatable %v; want %v, %v", name, r, u, c.repeatable, c.unique)
		}
	}
}

// TestConnectionsOfStutteringEndpoint guards against a connection for each request of an endpoint that breaks off or repeats one answer in twelve, whose repeats cost less.
func TestConnectionsOfStutteringEndpoint(t *testing.T) {
	const requests = 100_000
	random := rand.New(rand.NewPCG(1, 1))
	h, now, own := &History{}, time.Unix(0, 0), 0
	for range requests {
		now = now.Add(10 * time.Millisecond)
		if h.MayReuse(now, true) {
			h.RecordAnswer(now, random.IntN(12) == 0)
		} else {
			own++
		}
	}
	if share := float64(own) / requests; share > 0.1 {
		t.Errorf("%.3f of the requests had connections of their own, want at most 0.1", share)
	}
}
