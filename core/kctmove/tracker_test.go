package kctmove

import (
	"slices"
	"sync"
	"testing"
	"time"

	kctport "kingcupturn"
)

const (
	// goodSeeds is the number of runs that promise 5 names.
	goodSeeds = 100
	badSeeds  = 8
	// workers bounds the cores that the runs take.
	workers = 4
)

// simulate runs a model for each seed; odd seeds have a slow zone.
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

// Guards against taking back a good version, or missing its deadline, in calm, while a zone is slow and while endpoints are cold.
// With few requests an endpoint's first one comes late, so its cold start falls into the time in which it should be warm.
func TestGoodVersionsFinish(t *testing.T) {
	var took []time.Duration
	rates := []float64{modelRate, 100, 300}
	vary := func(m *model) { m.rate = rates[m.random.IntN(len(rates))] }
	for seed, m := range simulate(goodSeeds, 2*time.Minute, vary) {
		took = append(took, m.now.Sub(modelStart))
		if m.seen.State != kctport.MoveDone || m.now.After(m.seen.Deadline) {
			t.Errorf("seed %d: %s after %s: %s", seed, m.seen.State, m.now.Sub(modelStart), m.seen.Evidence)
		}
		if m.judged > shareFirst {
			t.Errorf("seed %d: share %g before the version was judged good", seed, m.judged)
		}
	}
	slices.Sort(took)
	t.Logf("%d runs of 2m0s: done after %s to %s", len(took), took[0], took[len(took)-1])
}

// Guards against taking back a version because one of its endpoints is slow or its holder is replaced, and against a short move that waits too long for cold endpoints.
func TestOtherFaultsAreNoVerdict(t *testing.T) {
	rows := map[string]func(*model){
		"new holder": func(m *model) { m.turnover = 0.1 },
		"straggler":  func(m *model) { m.straggler = "0-1" },
		"short move": func(m *model) { m.honest = true },
	}
	for name, prepare := range rows {
		length := 2 * time.Minute
		if name == "short move" {
			length = 30 * time.Second
		}
		for seed, m := range simulate(30, length, prepare) {
			if m.seen.State != kctport.MoveDone {
				t.Errorf("%s, seed %d: %s: %s", name, seed, m.seen.State, m.seen.Evidence)
			}
		}
	}
}

// Guards against a bad version that keeps 1% or more of the traffic 5 s after its fault shows, or gets through.
func TestBadVersionsAreCut(t *testing.T) {
	rows := map[string]fault{
		"fails at once":       {fails: 0.5},
		"fails after minutes": {fails: 0.3, after: 2 * time.Minute},
		"fails under load":    {fails: 0.3, load: 0.25},
		"fails on one route":  {fails: 0.5, route: "export"},
		"slow at once":        {slower: 3},
		"slow after minutes":  {slower: 3, after: 2 * time.Minute},
		"slow under load":     {slower: 3, load: 0.25},
		"slow on one route":   {slower: 4, route: "export"},
		"twice as slow":       {slower: 2},
		"never warm":          {slower: 10, cold: true},
		"slow, new holders":   {slower: 3, after: 30 * time.Second, turnover: 0.1},
	}
	for name, f := range rows {
		t.Run(name, func(t *testing.T) { checkBad(t, f) })
	}
}

func checkBad(t *testing.T, f fault) {
	models := simulate(badSeeds, 5*time.Minute, func(m *model) {
		m.fault, m.turnover = f, f.turnover
		for _, r := range m.replicas {
			if f.cold && r.Version == "v2" {
				r.Health = kctport.HealthCold
			}
		}
	})
	var took []time.Duration
	for seed, m := range models {
		if m.seen.State != kctport.MoveReverted {
			t.Errorf("seed %d: %s: %s", seed, m.seen.State, m.seen.Evidence)
		}
		// A version that is cut while its share is below 1% was never above the bound.
		took = append(took, max(0, m.last.Sub(m.onset)))
		if m.onset.IsZero() {
			took[seed] = 0
		}
		if took[seed] > 5*time.Second {
			t.Errorf("seed %d: at least 1%% for %s: %s", seed, took[seed], m.seen.Evidence)
		}
	}
	slices.Sort(took)
	t.Logf("%d runs: share at or above 1%% for a median of %s, at most %s after the fault showed", len(took), took[len(took)/2], took[len(took)-1])
}

// Guards against a move that goes on past its deadline, or finishes, without evidence that the version is good.
func TestNoEvidenceReverts(t *testing.T) {
	for _, rate := range []float64{0, 1} {
		m := newModel(1, 2*time.Minute)
		m.rate = rate
		m.run()
		if m.seen.State != kctport.MoveReverted || m.now.After(m.seen.Deadline) || m.seen.Evidence == "" {
			t.Errorf("rate %g: %s after %s: %s", rate, m.seen.State, m.now.Sub(modelStart), m.seen.Evidence)
		}
	}
	m := newModel(1, 2*time.Minute)
	for _, r := range m.replicas {
		r.Usable = r.Version == "v1"
	}
	m.run()
	if m.seen.State != kctport.MoveReverted || m.seen.Share != 0 {
		t.Errorf("without endpoints: %s: %s", m.seen.State, m.seen.Evidence)
	}
}

// BenchmarkObserve measures the control goroutine's time for one attempt at a service with a running move.
func BenchmarkObserve(b *testing.B) {
	m := newModel(1, time.Hour)
	m.seen.Share = shareFirst
	tracker := m.trackers[0]
	tracker.Track(m.now, m.seen, m.replicas, m.policy)
	batch := make([]kctport.Observation, 1000)
	for i := range batch {
		batch[i] = m.attempt([]kctport.VersionName{"v1", "v2"}[i%20/19], shareFirst)
	}
	for b.Loop() {
		m.now = m.now.Add(25 * time.Millisecond)
		tracker.Observe(m.now, batch)
		tracker.Stopped(m.now, m.seen)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch)), "ns/attempt")
}
