package kctquery_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctquery"
	"kingcupturn/core/kctretry"
)

// faulty draws stragglers, losses, refusals, resets and changes of owner.
func faulty(r *rand.Rand, _ kctport.PartCall) (time.Duration, error) {
	d := time.Duration(5+r.IntN(10)) * time.Millisecond
	switch r.IntN(40) {
	case 0:
		return 10 * d, nil
	case 1:
		return time.Hour, nil
	case 2:
		return d, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
	case 3:
		return d, errors.Join(kctport.ErrUnknown, kctport.ErrReset)
	case 4:
		return d, errors.Join(kctport.ErrNotOwner, kctport.ErrNotRun)
	case 5:
		return d, errors.Join(kctport.ErrUnknown, kctport.ErrFailed)
	}
	return d, nil
}

// growing gives each snapshot another denominator.
func growing(s kctport.Snapshot) int { return 2 + int(s)%3 }

// TestQuery guards against mixed snapshots, inaccurate coverage, a false "not run", answers after the deadline and leaked
// attempts, while endpoints drop snapshots that the view still shows.
func TestQuery(t *testing.T) {
	whole, partial, again := 0, 0, uint64(0)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 12, growing, faulty)
			e := f.start(t, kctretry.NewHedger(), powerOfTwo)
			for i := range 400 {
				if i%40 == 39 {
					f.mu.Lock()
					f.snapshots = []kctport.Snapshot{f.snapshots[0] + 1}
					f.mu.Unlock()
				}
				deadline := time.Now().Add(time.Duration(60+i%5*30) * time.Millisecond)
				q := kctport.Query{Services: []kctport.ServiceName{"s"}, Route: fmt.Sprint(i), Body: []byte{byte(i % 7)}, Deadline: deadline}
				a, err := e.Query(t.Context(), q)
				if n := f.count(q.Route); n > 0 && errors.Is(err, kctport.ErrNotRun) {
					t.Errorf("seed %d: query %d ran at %d endpoints, outcome %v", seed, i, n, err)
				}
				if time.Now().After(deadline) {
					t.Errorf("seed %d: answer %s late", seed, time.Since(deadline))
				}
				if err == nil {
					checkAnswer(t, a)
				}
				if a.Coverage.Complete() {
					whole++
				} else {
					partial++
				}
			}
			again += e.Counters().Restarts
			if err := e.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	t.Logf("%d whole answers, %d others, %d runs started over", whole, partial, again)
}

// checkAnswer counts the coverage as a caller can.
func checkAnswer(t *testing.T, a kctport.Answer) {
	t.Helper()
	shards := make(map[string]bool)
	for _, it := range a.Items {
		var shard, snapshot int
		if _, err := fmt.Sscanf(it.ID, "s/%d@%d", &shard, &snapshot); err != nil || kctport.Snapshot(snapshot) != a.Snapshot {
			t.Errorf("item %s in an answer from snapshot %d", it.ID, a.Snapshot)
		}
		shards[it.ID] = true
	}
	c := a.Coverage
	if c.Total != growing(a.Snapshot) || len(shards) != c.Answered || len(a.Items) != c.Answered || c.Answered+len(c.Missing) != c.Total {
		t.Errorf("coverage %+v of snapshot %d, %d parts counted", c, a.Snapshot, len(shards))
	}
}

// TestExecute guards against a non-idempotent request that runs twice and against a false "not run".
func TestExecute(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 6, growing, faulty)
			e := f.start(t, kctretry.NewHedger(), powerOfTwo)
			for i := range 300 {
				key := fmt.Sprint("k", i)
				_, err := e.Execute(t.Context(), kctport.Execution{Key: key, Service: "s", Deadline: time.Now().Add(60 * time.Millisecond)})
				if n := f.count(key); n > 1 || n > 0 && errors.Is(err, kctport.ErrNotRun) || n == 0 && err == nil {
					t.Errorf("seed %d: %s ran %d times, outcome %v", seed, key, n, err)
				}
			}
			if err := e.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCanary guards against a crashing body that reaches several endpoints at once, against fan-out after it failed, and
// against a query that is lost with its canary.
func TestCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := int(uint64(kctquery.Fingerprint([]kctport.ServiceName{"s"}, "", []byte("lost"))) % 10)
		f := newFleet(1, 30, func(kctport.Snapshot) int { return 10 }, func(_ *rand.Rand, c kctport.PartCall) (time.Duration, error) {
			if string(c.Body) == "lost" && c.Part.Shard != lost {
				return time.Millisecond, nil
			}
			if string(c.Body) == "lost" {
				lost = -1
				return time.Hour, nil
			}
			if string(c.Body) == "crash" {
				return 20 * time.Millisecond, errors.Join(kctport.ErrUnknown, kctport.ErrReset)
			}
			return time.Millisecond, nil
		})
		e := f.start(t, kctretry.FixedHedge(5*time.Millisecond), powerOfTwo)
		start := time.Now()
		_, err := e.Query(t.Context(), kctport.Query{Services: []kctport.ServiceName{"s"}, Body: []byte("crash")})
		// One part has three replicas; the suspect list stops the body before the third in the whole program.
		if f.ran > 3 || !errors.Is(err, kctport.ErrUnknown) || errors.Is(err, kctport.ErrNotRun) {
			t.Errorf("a crashing body ran %d times, error %v", f.ran, err)
		}
		if took := time.Since(start); took < time.Duration(f.ran)*20*time.Millisecond {
			t.Errorf("a crashing body ran %d times of 20 ms each within %s, so not one after the other", f.ran, took)
		}
		f.ran = 0
		for _, body := range []string{"good", "lost"} {
			if a, err := e.Query(t.Context(), kctport.Query{Services: []kctport.ServiceName{"s"}, Body: []byte(body)}); err != nil || !a.Coverage.Complete() {
				t.Errorf("body %q: %+v, %v", body, a.Coverage, err)
			}
		}
	})
}

// TestOwnerChange guards against a request that is given up while its endpoints change owners, although it has time left.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(400 * time.Millisecond)
		f := newFleet(1, 6, growing, func(*rand.Rand, kctport.PartCall) (time.Duration, error) {
			if time.Now().Before(end) {
				return time.Millisecond, errors.Join(kctport.ErrNotOwner, kctport.ErrNotRun)
			}
			return time.Millisecond, nil
		})
		e := f.start(t, kctretry.NewHedger(), powerOfTwo)
		var wg sync.WaitGroup
		wg.Go(func() {
			if a, err := e.Query(t.Context(), kctport.Query{Services: []kctport.ServiceName{"s"}}); err != nil || !a.Coverage.Complete() {
				t.Errorf("query: %+v, %v", a.Coverage, err)
			}
		})
		wg.Go(func() {
			if _, err := e.Execute(t.Context(), kctport.Execution{Key: "k", Service: "s"}); err != nil || f.count("k") != 1 {
				t.Errorf("execution: %v, ran %d times", err, f.count("k"))
			}
		})
		wg.Wait()
		if c := e.Counters(); c.FreeRetries > 60 {
			t.Errorf("%d free attempts for 4 parts and an execution in 400 ms", c.FreeRetries)
		}
	})
}
