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

// scenario is a load on 10 shards of 3 endpoints with 4 slots and latencies of 3 ms plus an exponential 2 ms.
type scenario struct {
	name            string
	hedger          func() kctport.Hedger
	picker          func(func(kctport.InstanceID) int) kctport.Picker
	stragglerFactor float64       // latency factor of endpoint 0, 0 for none
	sheds           bool          // endpoint 0 sheds everything
	slowFactor      float64       // latency factor of all endpoints, 0 for none
	slowFor         time.Duration // how long they are slow, 0 for always
	zoned           bool          // the straggler is in the entry's zone
	noEjection      bool          // ejected endpoints stay usable, to measure routing and hedging alone
	every           time.Duration // mean time between queries
}

// sample is the outcome of one query.
type sample struct {
	sent     time.Duration // since the fault
	latency  time.Duration
	complete bool
}

// run warms up for 2 s, measures until 3 s after slowFor under the fault, and returns the queries and the extra attempts per
// first attempt.
func (s scenario) run(t *testing.T, seed uint64) (all []sample, extra float64) {
	synctest.Test(t, func(t *testing.T) {
		var fault time.Time
		f := newFleet(seed, 30, func(kctport.Snapshot) int { return 10 }, func(r *rand.Rand, c kctport.PartCall) (time.Duration, error) {
			d := 3*time.Millisecond + time.Duration(r.ExpFloat64()*float64(2*time.Millisecond))
			if fault.IsZero() {
				return d, nil
			}
			if s.sheds && c.Endpoint == "000" {
				return time.Millisecond, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
			}
			if s.slowFactor > 0 && (s.slowFor == 0 || time.Since(fault) < s.slowFor) {
				d = time.Duration(float64(d) * s.slowFactor)
			}
			if s.stragglerFactor > 0 && c.Endpoint == "000" {
				d = time.Duration(float64(d) * s.stragglerFactor)
			}
			return d, nil
		})
		f.policy.Canary, f.noEjection, f.zoned = false, s.noEjection, s.zoned
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

// drive sends queries at exponential intervals with the mean every, without waiting for earlier ones.
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
			all = append(all, sample{sent: start.Sub(begin), latency: time.Since(start), complete: err == nil && a.Coverage.Complete()})
		})
	}
	wg.Wait()
	return all
}

// summarize returns the 99th percentile of the latencies and a line for the log.
func summarize(all []sample) (p99 time.Duration, text string) {
	slices.SortFunc(all, func(a, b sample) int { return int(a.latency - b.latency) })
	complete := 0
	for _, q := range all {
		if q.complete {
			complete++
		}
	}
	p99 = all[len(all)*99/100].latency
	return p99, fmt.Sprintf("p50 %s, p99 %s, incomplete %.2f%%", all[len(all)/2].latency.Round(100*time.Microsecond),
		p99.Round(100*time.Microsecond), 100*float64(len(all)-complete)/float64(len(all)))
}

func adaptive() kctport.Hedger { return kctretry.NewHedger() }

// TestLoad guards against extra attempts above the bounds of the design page, without faults and with slow endpoints, and
// against a 99th percentile that rises with one straggler.
func TestLoad(t *testing.T) {
	base := scenario{hedger: adaptive, picker: powerOfTwo, every: 2 * time.Millisecond}
	all, extra := base.run(t, 1)
	baseline, text := summarize(all)
	if t.Logf("no fault: %s, extra %.4f", text, extra); extra > 0.05 {
		t.Errorf("extra load %.4f without a fault, at most 0.05", extra)
	}
	s := base
	s.stragglerFactor = 10
	all, extra = s.run(t, 1)
	p99, text := summarize(all)
	if t.Logf("straggler: %s, extra %.4f", text, extra); extra > 0.1 || p99 > baseline*3/2 {
		t.Errorf("extra load %.4f, at most 0.1; 99th percentile %s with a straggler, at most 1.5 times %s", extra, p99, baseline)
	}
	s = base
	s.slowFactor = 3
	all, extra = s.run(t, 1)
	_, text = summarize(all)
	if t.Logf("all slow: %s, extra %.4f", text, extra); extra > 0.1 {
		t.Errorf("extra load %.4f with every endpoint slow, at most 0.1", extra)
	}
}

// TestRecovery guards against an overload that outlasts its cause: retries and hedges keep up the load after all endpoints
// were 40 times slower, and so far above capacity, for 1 s.
func TestRecovery(t *testing.T) {
	s := scenario{hedger: adaptive, picker: powerOfTwo, every: 2 * time.Millisecond, slowFactor: 40, slowFor: time.Second}
	all, extra := s.run(t, 1)
	var last time.Duration
	failed := 0
	for _, q := range all {
		if !q.complete {
			last = max(last, q.sent)
			failed++
		}
	}
	t.Logf("%d of %d queries incomplete, the last one sent %s after the cause ended; extra load %.4f", failed, len(all), last-s.slowFor, extra)
	if late := s.slowFor + time.Second; failed == 0 || last > late || extra > 0.1 {
		t.Errorf("the last incomplete query was sent %s after the fault began, want one, and none after %s; extra load %.4f, at most 0.1", last, late, extra)
	}
}

// TestCompare guards against a hedger that performs no better than a simple one: with one straggler that is never ejected,
// the 99th percentile of the adaptive hedger stays within 1.5 times that without a straggler, and no scenario takes more
// than 10% extra attempts. It also logs the results of each hedger and picker for comparison.
func TestCompare(t *testing.T) {
	var baseline time.Duration
	none := func() kctport.Hedger { return kctretry.NoHedge{} }
	fixed := func() kctport.Hedger { return kctretry.FixedHedge(30 * time.Millisecond) }
	var rows []scenario
	for _, h := range []scenario{{name: "no hedge", hedger: none}, {name: "fixed 30 ms", hedger: fixed}, {name: "adaptive", hedger: adaptive}} {
		h.picker, h.every = powerOfTwo, 3*time.Millisecond
		for _, stragglerFactor := range []float64{0, 10} {
			h.stragglerFactor = stragglerFactor
			rows = append(rows, h)
		}
		h.noEjection = true
		rows = append(rows, h)
	}
	for _, every := range []time.Duration{3 * time.Millisecond, 900 * time.Microsecond} {
		rows = append(rows,
			scenario{name: "power of two", hedger: none, picker: powerOfTwo, stragglerFactor: 2.5, noEjection: true, every: every},
			scenario{name: "round robin", hedger: none, picker: roundRobin, stragglerFactor: 2.5, noEjection: true, every: every})
	}
	for _, stragglerFactor := range []float64{0, 10} {
		rows = append(rows, scenario{name: "zoned", hedger: adaptive, picker: powerOfTwo, zoned: true, stragglerFactor: stragglerFactor, noEjection: true, every: 3 * time.Millisecond})
	}
	for _, noEjection := range []bool{true, false} {
		rows = append(rows, scenario{name: "one refuses", hedger: adaptive, picker: powerOfTwo, sheds: true, noEjection: noEjection, every: 3 * time.Millisecond})
	}
	for _, s := range rows {
		all, extra := s.run(t, 1)
		p99, text := summarize(all)
		t.Logf("%-12s straggler x%-4v ejection %-5t query every %-6s %s, extra %.2f%%", s.name, s.stragglerFactor, !s.noEjection, s.every, text, 100*extra)
		if extra > 0.1 {
			t.Errorf("%s: extra load %.4f, at most 0.1", s.name, extra)
		}
		if s.name != "adaptive" {
			continue
		}
		if s.stragglerFactor == 0 {
			baseline = p99
		} else if 2*p99 > 3*baseline {
			t.Errorf("p99 %s with a straggler, at most 1.5 times %s", p99, baseline)
		}
	}
}
