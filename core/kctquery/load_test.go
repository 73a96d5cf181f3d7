package kctquery_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctretry"
)

// scenario is a load on 10 shards of 3 endpoints with 4 slots and replies of 3 ms plus an exponential 2 ms.
type scenario struct {
	name     string
	hedger   func() kctport.Hedger
	picker   func(func(kctport.InstanceID) int) kctport.Picker
	straggle float64       // factor of endpoint 0
	refuse   bool          // endpoint 0 sheds everything
	slow     float64       // factor of all endpoints
	slowFor  time.Duration // how long they are slow, 0 for always
	zoned    bool          // the straggler is in the own zone
	keep     bool          // never eject, so that only routing and hedging act
	every    time.Duration // mean time between queries
}

// sample is one query.
type sample struct {
	sent    time.Duration // since the fault
	latency time.Duration
	whole   bool
}

// run warms up for 2 s, measures for 3 s under the fault, and returns the queries and the extra attempts per first one.
func (s scenario) run(t *testing.T, seed uint64) (all []sample, extra float64) {
	synctest.Test(t, func(t *testing.T) {
		var fault time.Time
		f := newFleet(seed, 30, func(kctport.Snapshot) int { return 10 }, func(r *rand.Rand, c kctport.PartCall) (time.Duration, error) {
			d := 3*time.Millisecond + time.Duration(r.ExpFloat64()*float64(2*time.Millisecond))
			if fault.IsZero() {
				return d, nil
			}
			if s.refuse && c.Endpoint == "000" {
				return time.Millisecond, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
			}
			if s.slow > 0 && (s.slowFor == 0 || time.Since(fault) < s.slowFor) {
				d = time.Duration(float64(d) * s.slow)
			}
			if s.straggle > 0 && c.Endpoint == "000" {
				d = time.Duration(float64(d) * s.straggle)
			}
			return d, nil
		})
		f.policy.Canary, f.keep, f.zoned = false, s.keep, s.zoned
		e := f.start(t, s.hedger(), s.picker)
		f.drive(e, s.every, 2*time.Second)
		f.mu.Lock()
		fault = time.Now()
		f.mu.Unlock()
		before := e.Counters()
		all = f.drive(e, s.every, s.slowFor+3*time.Second)
		c := e.Counters()
		extra = float64(c.Retries+c.Hedges-before.Retries-before.Hedges) / float64(c.First-before.First)
	})
	return all, extra
}

// drive sends queries at random times, whether or not earlier ones have ended.
func (f *fleet) drive(e interface {
	Query(context.Context, kctport.Query) (kctport.Answer, error)
}, every, total time.Duration,
) (all []sample) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < total; {
		f.mu.Lock()
		pause := time.Duration(f.rand.ExpFloat64() * float64(every))
		f.mu.Unlock()
		time.Sleep(pause)
		wg.Go(func() {
			start := time.Now()
			a, err := e.Query(context.Background(), kctport.Query{Services: []kctport.ServiceName{"s"}, Deadline: start.Add(210 * time.Millisecond)})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sample{sent: start.Sub(begin), latency: time.Since(start), whole: err == nil && a.Coverage.Complete()})
		})
	}
	wg.Wait()
	return all
}

// outcome sums up a scenario.
func outcome(all []sample) (p99 time.Duration, text string) {
	slices.SortFunc(all, func(a, b sample) int { return int(a.latency - b.latency) })
	whole := 0
	for _, q := range all {
		if q.whole {
			whole++
		}
	}
	p99 = all[len(all)*99/100].latency
	return p99, fmt.Sprintf("p50 %s, p99 %s, not whole %.2f%%", all[len(all)/2].latency.Round(100*time.Microsecond),
		p99.Round(100*time.Microsecond), 100*float64(len(all)-whole)/float64(len(all)))
}

func adaptive() kctport.Hedger { return kctretry.NewHedger() }

// TestLoad guards against extra load beyond the bounds of the design page and against a straggler that shows in the 99th
// percentile.
func TestLoad(t *testing.T) {
	base := scenario{hedger: adaptive, picker: powerOfTwo, every: 2 * time.Millisecond}
	all, extra := base.run(t, 1)
	calm, text := outcome(all)
	if t.Logf("calm: %s, extra %.4f", text, extra); extra > 0.05 {
		t.Errorf("extra load %.4f in calm conditions, at most 0.05", extra)
	}
	s := base
	s.straggle = 10
	all, extra = s.run(t, 1)
	p99, text := outcome(all)
	if t.Logf("straggler: %s, extra %.4f", text, extra); extra > 0.1 || p99 > calm*3/2 {
		t.Errorf("extra load %.4f, at most 0.1; 99th percentile %s with a straggler, at most 1.5 times %s", extra, p99, calm)
	}
	s = base
	s.slow = 3
	all, extra = s.run(t, 1)
	_, text = outcome(all)
	if t.Logf("all slow: %s, extra %.4f", text, extra); extra > 0.1 {
		t.Errorf("extra load %.4f with every endpoint slow, at most 0.1", extra)
	}
}

// TestRecovery guards against an overload that outlasts its cause: endpoints that are 40 times slower for 1 s are far
// beyond their capacity.
func TestRecovery(t *testing.T) {
	s := scenario{hedger: adaptive, picker: powerOfTwo, every: 2 * time.Millisecond, slow: 40, slowFor: time.Second}
	all, extra := s.run(t, 1)
	var last time.Duration
	failed := 0
	for _, q := range all {
		if !q.whole {
			last = max(last, q.sent)
			failed++
		}
	}
	t.Logf("%d of %d queries not whole, the last one sent %s after the cause ended; extra load %.4f", failed, len(all), last-s.slowFor, extra)
	if late := s.slowFor + time.Second; failed == 0 || last > late || extra > 0.1 {
		t.Errorf("queries fail until %s after the cause began, want some, and none after %s; extra load %.4f, at most 0.1", last, late, extra)
	}
}

// TestCompare guards against a decision that does worse than its plain baseline: with one straggler that is never
// ejected, the kept hedger must hold 1.5 times its own calm 99th percentile, and no row may need more than 10% extra
// load. The rows also print the effect of each hedger and picker.
func TestCompare(t *testing.T) {
	var calm time.Duration
	none := func() kctport.Hedger { return kctretry.NoHedge{} }
	fixed := func() kctport.Hedger { return kctretry.FixedHedge(30 * time.Millisecond) }
	var rows []scenario
	for _, h := range []scenario{{name: "no hedge", hedger: none}, {name: "fixed 30 ms", hedger: fixed}, {name: "adaptive", hedger: adaptive}} {
		h.picker, h.every = powerOfTwo, 3*time.Millisecond
		for _, straggle := range []float64{0, 10} {
			h.straggle = straggle
			rows = append(rows, h)
		}
		h.keep = true
		rows = append(rows, h)
	}
	for _, every := range []time.Duration{3 * time.Millisecond, 900 * time.Microsecond} {
		rows = append(rows,
			scenario{name: "power of two", hedger: none, picker: powerOfTwo, straggle: 2.5, keep: true, every: every},
			scenario{name: "round robin", hedger: none, picker: roundRobin, straggle: 2.5, keep: true, every: every})
	}
	for _, straggle := range []float64{0, 10} {
		rows = append(rows, scenario{name: "zoned", hedger: adaptive, picker: powerOfTwo, zoned: true, straggle: straggle, keep: true, every: 3 * time.Millisecond})
	}
	for _, keep := range []bool{true, false} {
		rows = append(rows, scenario{name: "one refuses", hedger: adaptive, picker: powerOfTwo, refuse: true, keep: keep, every: 3 * time.Millisecond})
	}
	for _, s := range rows {
		all, extra := s.run(t, 1)
		p99, text := outcome(all)
		t.Logf("%-12s straggler x%-4v ejection %-5t query every %-6s %s, extra %.2f%%", s.name, s.straggle, !s.keep, s.every, text, 100*extra)
		if extra > 0.1 {
			t.Errorf("%s: extra load %.4f, at most 0.1", s.name, extra)
		}
		if s.name != "adaptive" {
			continue
		}
		if s.straggle == 0 {
			calm = p99
		} else if 2*p99 > 3*calm {
			t.Errorf("p99 %s with a straggler, at most 1.5 times %s", p99, calm)
		}
	}
}
