package kctmove

import (
	"slices"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
)

const (
	// goodSeeds is the number of runs that the requirement on version moves names.
	goodSeeds = 100
	badSeeds  = 8
	// workers bounds the number of runs at the same time.
	workers = 4
)

// simulate runs one model for each seed; in those of odd seeds a zone is slow for a minute.
func simulate(seeds int, length time.Duration, prepare func(*model)) []*model {
	models := make([]*model, seeds)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for seed := w; seed < seeds; seed += workers {
				m := newModel(uint64(seed), length)
				if seed%2 == 1 {
					m.slowZone = "z1"
					m.slowFrom = time.Duration(m.random.Int64N(int64(length)))
				}
				prepare(m)
				m.run()
				models[seed] = m
			}
		})
	}
	wait.Wait()
	return models
}

// TestGoodVersionsFinish guards against a good version that is reverted or misses its deadline because a zone is slow or its endpoints are cold. At a
// low request rate an endpoint's first request comes late, so that it is still cold at the planned end of its warm-up.
func TestGoodVersionsFinish(t *testing.T) {
	var durations []time.Duration
	rates := []float64{modelRate, 100, 300}
	vary := func(m *model) { m.rate = rates[m.random.IntN(len(rates))] }
	for seed, m := range simulate(goodSeeds, 2*time.Minute, vary) {
		durations = append(durations, m.now.Sub(modelStart))
		if m.current.State != kctport.MoveDone || m.now.After(m.current.Deadline) {
			t.Errorf("seed %d: %s after %s: %s", seed, m.current.State, m.now.Sub(modelStart), m.current.Evidence)
		}
		if m.maxUnproven > shareFirst {
			t.Errorf("seed %d: share %g without evidence that the version is good", seed, m.maxUnproven)
		}
	}
	slices.Sort(durations)
	t.Logf("%d runs of 2m0s: done after %s to %s", len(durations), durations[0], durations[len(durations)-1])
}

// TestOtherFaultsAreNoVerdict guards against a good version that is reverted because one of its endpoints is slow, because the move's holder is
// replaced, or because a short move waits too long for cold endpoints.
func TestOtherFaultsAreNoVerdict(t *testing.T) {
	cases := map[string]func(*model){
		"new holder": func(m *model) { m.turnover = 0.1 },
		"straggler":  func(m *model) { m.straggler = "0-1" },
		"short move": func(m *model) { m.ownersSeeCold = true },
	}
	for name, prepare := range cases {
		length := 2 * time.Minute
		if name == "short move" {
			length = 30 * time.Second
		}
		for seed, m := range simulate(30, length, prepare) {
			if m.current.State != kctport.MoveDone {
				t.Errorf("%s, seed %d: %s: %s", name, seed, m.current.State, m.current.Evidence)
			}
		}
	}
}

// TestBadVersionsAreStopped guards against a bad version that has 1% or more of the traffic later than 5 s after its fault appears, or that completes
// its move.
func TestBadVersionsAreStopped(t *testing.T) {
	cases := map[string]fault{
		"fails at once":       {failureRate: 0.5},
		"fails after minutes": {failureRate: 0.3, after: 2 * time.Minute},
		"fails under load":    {failureRate: 0.3, minShare: 0.25},
		"fails on one route":  {failureRate: 0.5, route: "export"},
		"slow at once":        {slowdown: 3},
		"slow after minutes":  {slowdown: 3, after: 2 * time.Minute},
		"slow under load":     {slowdown: 3, minShare: 0.25},
		"slow on one route":   {slowdown: 4, route: "export"},
		"twice as slow":       {slowdown: 2},
		"never warm":          {slowdown: 10, cold: true},
		"slow, new holders":   {slowdown: 3, after: 30 * time.Second, turnover: 0.1},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) { checkBadVersion(t, f) })
	}
}

func checkBadVersion(t *testing.T, f fault) {
	models := simulate(badSeeds, 5*time.Minute, func(m *model) {
		m.fault, m.turnover = f, f.turnover
		for _, r := range m.replicas {
			if f.cold && r.Version == "v2" {
				r.Health = kctport.HealthCold
			}
		}
	})
	var durations []time.Duration
	for seed, m := range models {
		if m.current.State != kctport.MoveReverted {
			t.Errorf("seed %d: %s: %s", seed, m.current.State, m.current.Evidence)
		}
		// A version that is stopped while its share is below 1% is within the bound.
		durations = append(durations, max(0, m.last.Sub(m.onset)))
		if m.onset.IsZero() {
			durations[seed] = 0
		}
		if durations[seed] > 5*time.Second {
			t.Errorf("seed %d: share of at least 1%% for %s after the fault appeared: %s", seed, durations[seed], m.current.Evidence)
		}
	}
	slices.Sort(durations)
	t.Logf("%d runs: share at or above 1%% for a median of %s and at most %s after the fault appeared", len(durations), durations[len(durations)/2], durations[len(durations)-1])
}

// TestNoEvidenceReverts guards against a move that continues past its deadline, or completes, without evidence that the version is good: there are too
// few requests or no usable endpoints.
func TestNoEvidenceReverts(t *testing.T) {
	for _, rate := range []float64{0, 1} {
		m := newModel(1, 2*time.Minute)
		m.rate = rate
		m.run()
		if m.current.State != kctport.MoveReverted || m.now.After(m.current.Deadline) || m.current.Evidence == "" {
			t.Errorf("rate %g: %s after %s: %s", rate, m.current.State, m.now.Sub(modelStart), m.current.Evidence)
		}
	}
	m := newModel(1, 2*time.Minute)
	for _, r := range m.replicas {
		r.Usable = r.Version == "v1"
	}
	m.run()
	if m.current.State != kctport.MoveReverted || m.current.Share != 0 {
		t.Errorf("without usable endpoints: %s: %s", m.current.State, m.current.Evidence)
	}
}

// BenchmarkObserve measures the control goroutine's time per attempt at a service with a running move.
func BenchmarkObserve(b *testing.B) {
	m := newModel(1, time.Hour)
	m.current.Share = shareFirst
	tracker := m.trackers[0]
	tracker.Track(m.now, m.current, m.replicas, m.policy)
	batch := make([]kctport.Observation, 1000)
	for i := range batch {
		batch[i] = m.attempt([]kctport.VersionName{"v1", "v2"}[i%20/19], shareFirst)
	}
	for b.Loop() {
		m.now = m.now.Add(25 * time.Millisecond)
		tracker.Observe(m.now, batch)
		tracker.Stopped(m.now, m.current)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch)), "ns/attempt")
}
