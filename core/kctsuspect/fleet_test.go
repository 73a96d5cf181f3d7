package kctsuspect_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kcttimer"
)

const (
	simEndpoints = 12
	simService   = kctport.ServiceName("s")
	simRestart   = 3 * time.Second
	// simWindow and simRetries are the users' bound on retries of a request that crashes endpoints, after its third crash.
	simWindow  = 4 * time.Second
	simRetries = 3
)

// simEndpoint is an endpoint that may crash; each start is another incarnation.
type simEndpoint struct {
	record  kctport.EndpointRecord
	up      bool
	crashed chan struct{}
}

// simFleet is a fleet of entries, each with a detector, before endpoints that some requests crash.
type simFleet struct {
	random *rand.Rand
	// lost is the share of answers that are lost while their endpoint lives; delay is the longest time until another entry has an entry's evidence.
	lost  float64
	delay time.Duration

	mu        sync.Mutex
	endpoints []*simEndpoint
	detectors []*kctsuspect.Detector
	memories  []*kctsuspect.Memory
	// crashes holds the times at which requests crashed endpoints, late the retries beyond simWindow, by request, and killed counts the other crashes.
	crashes []time.Time
	late    map[int]bool
	killed  int
	// refused counts refusals of requests that crash nothing, and sent all of them.
	refused, sent int
}

func newSimFleet(ctx context.Context, seed uint64, entries int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 7)), delay: 50 * time.Millisecond, late: map[int]bool{}}
	for i := range simEndpoints {
		f.endpoints = append(f.endpoints, &simEndpoint{record: kctport.EndpointRecord{
			ID: kctport.InstanceID(fmt.Sprint("e", i)), Service: simService, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), Started: time.Now(),
		}, up: true, crashed: make(chan struct{})})
	}
	for i := range entries {
		m := kctsuspect.NewMemory(kcttimer.New(), kctsuspect.WithSelf(kctport.InstanceID(fmt.Sprint("entry", i))))
		d := kctsuspect.NewDetector(m, f, kctsuspect.WithReport(func(s []kctport.Suspicion) { f.spread(i, s) }))
		f.memories, f.detectors = append(f.memories, m), append(f.detectors, d)
		d.Run(ctx)
	}
	return f
}

// spread passes evidence on to the other entries.
func (f *simFleet) spread(from int, s []kctport.Suspicion) {
	for i, m := range f.memories {
		if i != from {
			time.AfterFunc(f.duration(f.delay), func() { m.Merge(s) })
		}
	}
}

// Probe finds an endpoint by the port of its address.
func (f *simFleet) Probe(_ context.Context, address netip.AddrPort) kctport.Liveness {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endpoints[address.Port()].up {
		return kctport.LivenessUp
	}
	return kctport.LivenessDown
}

func (f *simFleet) duration(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(most) + 1))
}

// crash ends an endpoint, unless it is down, and starts it again.
func (f *simFleet) crash(e *simEndpoint, down time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up {
		return false
	}
	e.up = false
	close(e.crashed)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.up, e.crashed, e.record.Started = true, make(chan struct{}), time.Now()
	})
	return true
}

// choose returns a random endpoint that is up, with its record and what tells that it crashed.
func (f *simFleet) choose() (*simEndpoint, kctport.EndpointRecord, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.random.Perm(len(f.endpoints)) {
		if e := f.endpoints[i]; e.up {
			return e, e.record, e.crashed
		}
	}
	return nil, kctport.EndpointRecord{}, nil
}

// request sends a request through an entry, up to attempts times; number identifies a request that crashes endpoints, and is negative for others.
func (f *simFleet) request(entry int, path string, work time.Duration, attempts, number int) bool {
	d := f.detectors[entry]
	fingerprint := kctsuspect.HashRequest(&kctport.Message{Method: "GET", Host: "h", Target: path}).At(simService)
	if d.Admit(fingerprint) > 0 {
		return false
	}
	for n := range attempts {
		e, record, crashed := f.choose()
		if e == nil || n > 0 && d.Refused(fingerprint) > 0 {
			return true
		}
		mark, began := d.Mark(), time.Now()
		time.Sleep(time.Millisecond)
		if number >= 0 {
			f.crashBy(e, number)
		}
		select {
		case <-crashed:
		case <-time.After(work):
			f.mu.Lock()
			lost := f.random.Float64() < f.lost
			f.mu.Unlock()
			if !lost {
				d.Answered(fingerprint)
				return true
			}
		}
		d.Cut(&record, fingerprint, mark, time.Since(began))
	}
	return true
}

// crashBy crashes an endpoint by a request.
func (f *simFleet) crashBy(e *simEndpoint, number int) {
	if !f.crash(e, simRestart) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) >= 3 && time.Since(f.crashes[2]) > simWindow {
		f.late[number] = true
	}
	f.crashes = append(f.crashes, time.Now())
}

// others sends requests that crash nothing: one in four for the same thing, some of them slow, and each one again up to twice after it was refused.
func (f *simFleet) others(ctx context.Context, every time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		path, work := "/popular", f.duration(160*time.Millisecond)
		if n%4 != 0 {
			path = fmt.Sprint("/", n)
		}
		if n%10 == 5 {
			path, work = "/popular/slow", f.duration(2*time.Second)
		}
		go func() {
			refused := false
			for range 3 {
				if refused = !f.request(f.entry(), path, work, 2, -1); !refused {
					break
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sent++
			if refused {
				f.refused++
			}
		}()
		time.Sleep(every)
	}
}

// entry chooses one of the entries.
func (f *simFleet) entry() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(len(f.detectors))
}

// run runs a simulation for a time and returns its fleet.
func run(t *testing.T, seed uint64, entries int, length time.Duration, prepare func(*simFleet), step func(f *simFleet, n int) time.Duration) *simFleet {
	t.Helper()
	var f *simFleet
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f = newSimFleet(ctx, seed, entries)
		prepare(f)
		go f.others(ctx, 10*time.Millisecond)
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			time.Sleep(step(f, n))
		}
		time.Sleep(time.Second)
		cancel()
		// The last requests and restarts end.
		time.Sleep(10 * time.Second)
	})
	return f
}

// TestCrashesByRequest guards against a request that crashes endpoints again and again, at any rate, at any entries, with evidence that is long on its way,
// and against requests of others that are refused with it.
func TestCrashesByRequest(t *testing.T) {
	for name, c := range map[string]struct {
		entries  int
		every    time.Duration
		delay    time.Duration
		attempts int
		// all sends the request at all entries at once.
		all    bool
		length time.Duration
	}{
		"each 20 ms":                      {entries: 9, every: 20 * time.Millisecond, delay: 50 * time.Millisecond, attempts: 2, length: 30 * time.Second},
		"each 150 ms":                     {entries: 3, every: 150 * time.Millisecond, delay: 50 * time.Millisecond, attempts: 2, length: 30 * time.Second},
		"each 1.2 s":                      {entries: 3, every: 1200 * time.Millisecond, delay: 50 * time.Millisecond, attempts: 2, length: 60 * time.Second},
		"each 1.2 s, not repeated":        {entries: 9, every: 1200 * time.Millisecond, delay: 400 * time.Millisecond, attempts: 1, length: 60 * time.Second},
		"each 20 s":                       {entries: 9, every: 20 * time.Second, delay: 50 * time.Millisecond, attempts: 2, length: 4 * time.Minute},
		"each 2 minutes, not repeated":    {entries: 9, every: 2 * time.Minute, delay: 50 * time.Millisecond, attempts: 1, length: 14 * time.Minute},
		"at nine entries at once":         {entries: 9, every: time.Second, delay: 400 * time.Millisecond, attempts: 2, all: true, length: 30 * time.Second},
		"at 90 entries, late evidence":    {entries: 90, every: 100 * time.Millisecond, delay: time.Second, attempts: 2, length: 30 * time.Second},
		"for ten minutes, again and over": {entries: 3, every: 500 * time.Millisecond, delay: 50 * time.Millisecond, attempts: 2, length: 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			most, refused, sent := 0, 0, 0
			for seed := range uint64(5) {
				f := run(t, seed, c.entries, c.length, func(f *simFleet) { f.delay = c.delay }, func(f *simFleet, n int) time.Duration {
					for i := range f.detectors {
						if c.all || i == n%len(f.detectors) {
							go f.request(i, "/crash", time.Hour, c.attempts, n)
						}
					}
					return c.every
				})
				if len(f.late) > simRetries {
					t.Errorf("seed %d: %d retries reached endpoints later than %v after the third crash, want at most %d", seed, len(f.late), simWindow, simRetries)
				}
				most, refused, sent = max(most, len(f.crashes)), refused+f.refused, sent+f.sent
			}
			t.Logf("at most %d crashes; %d of %d requests of others refused", most, refused, sent)
			if refused > 0 {
				t.Errorf("%d of %d requests of others refused", refused, sent)
			}
		})
	}
}

// TestCrashesWithoutCause guards against requests that are taken for ones that crash endpoints, while endpoints crash for other reasons or answers are lost.
func TestCrashesWithoutCause(t *testing.T) {
	random := func(f *simFleet) *simEndpoint { return f.endpoints[f.entry()%len(f.endpoints)] }
	for name, c := range map[string]struct {
		lost float64
		step func(f *simFleet, n int) time.Duration
	}{
		"one each 300 ms": {0, func(f *simFleet, _ int) time.Duration {
			f.kill(random(f), simRestart)
			return 300 * time.Millisecond
		}},
		"all at once each 5 s": {0, func(f *simFleet, _ int) time.Duration {
			for _, e := range f.endpoints {
				f.kill(e, time.Second)
			}
			return 5 * time.Second
		}},
		"one after the other each 250 ms, up again after 1 s": {0, func(f *simFleet, n int) time.Duration {
			f.kill(f.endpoints[n%len(f.endpoints)], time.Second)
			return 250 * time.Millisecond
		}},
		"a fifth of the answers lost": {0.2, func(*simFleet, int) time.Duration { return time.Second }},
		"half of the answers lost, and crashes": {0.5, func(f *simFleet, _ int) time.Duration {
			f.kill(random(f), simRestart)
			return 500 * time.Millisecond
		}},
	} {
		t.Run(name, func(t *testing.T) {
			refused, sent, killed := 0, 0, 0
			for seed := range uint64(5) {
				f := run(t, seed, 9, 2*time.Minute, func(f *simFleet) { f.lost = c.lost }, c.step)
				refused, sent, killed = refused+f.refused, sent+f.sent, killed+f.killed
			}
			t.Logf("%d crashes; %d of %d requests refused", killed, refused, sent)
			if refused > 0 {
				t.Errorf("%d of %d requests refused", refused, sent)
			}
		})
	}
}

// kill crashes an endpoint for no request's sake.
func (f *simFleet) kill(e *simEndpoint, down time.Duration) {
	if f.crash(e, down) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.killed++
	}
}
