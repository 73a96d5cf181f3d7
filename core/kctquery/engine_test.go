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

// faulty returns random latencies and faults: stragglers, lost calls, sheds, resets, changes of owner and failures.
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

// varyingShards returns a shard count that differs between consecutive snapshots.
func varyingShards(s kctport.Snapshot) int { return 2 + int(s)%3 }

// TestQuery guards against answers that mix snapshots or misstate their coverage, a "not run" error for a query that ran,
// late answers and leaked attempts. They come about when attempts fail while endpoints drop a snapshot that the view still
// lists.
func TestQuery(t *testing.T) {
	complete, partial, restarts := 0, 0, uint64(0)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 12, varyingShards, faulty)
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
					t.Errorf("seed %d: query %d ran %d times, error %v", seed, i, n, err)
				}
				if time.Now().After(deadline) {
					t.Errorf("seed %d: answer %s after the deadline", seed, time.Since(deadline))
				}
				if err == nil {
					checkAnswer(t, a)
				}
				if a.Coverage.Complete() {
					complete++
				} else {
					partial++
				}
			}
			restarts += e.Counters().Restarts
			if err := e.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	t.Logf("%d complete answers, %d others, %d restarts", complete, partial, restarts)
}

// checkAnswer checks the coverage of an answer against the shards of its items, as a caller could.
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
	if c.Total != varyingShards(a.Snapshot) || len(shards) != c.Answered || len(a.Items) != c.Answered || c.Answered+len(c.Missing) != c.Total {
		t.Errorf("coverage %+v of snapshot %d, items from %d shards", c, a.Snapshot, len(shards))
	}
}

// TestExecute guards against a non-idempotent request that runs twice, and a "not run" error for one that ran. Both come
// about when an attempt is repeated or reported wrongly after an error that leaves its outcome unknown.
func TestExecute(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, 6, varyingShards, faulty)
			e := f.start(t, kctretry.NewHedger(), powerOfTwo)
			for i := range 300 {
				key := fmt.Sprint("k", i)
				_, err := e.Execute(t.Context(), kctport.Execution{Key: key, Service: "s", Deadline: time.Now().Add(60 * time.Millisecond)})
				if n := f.count(key); n > 1 || n > 0 && errors.Is(err, kctport.ErrNotRun) || n == 0 && err == nil {
					t.Errorf("seed %d: %s ran %d times, error %v", seed, key, n, err)
				}
			}
			if err := e.Drain(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCanary guards against a crashing body that is sent to several endpoints at once or to further parts after its canary
// failed, and against a query that fails because its canary got no reply.
func TestCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lostShard := int(uint64(kctquery.Fingerprint([]kctport.ServiceName{"s"}, "", []byte("lost"))) % 10)
		f := newFleet(1, 30, func(kctport.Snapshot) int { return 10 }, func(_ *rand.Rand, c kctport.PartCall) (time.Duration, error) {
			if string(c.Body) == "lost" && c.Part.Shard != lostShard {
				return time.Millisecond, nil
			}
			if string(c.Body) == "lost" {
				lostShard = -1
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
		// The part has three replicas; in the complete program, the suspect list stops the body before the third.
		if f.ran > 3 || !errors.Is(err, kctport.ErrUnknown) || errors.Is(err, kctport.ErrNotRun) {
			t.Errorf("a crashing body ran %d times, error %v", f.ran, err)
		}
		if took := time.Since(start); took < time.Duration(f.ran)*20*time.Millisecond {
			t.Errorf("a crashing body ran %d times of 20 ms each within %s, want one run after the other", f.ran, took)
		}
		f.ran = 0
		for _, body := range []string{"good", "lost"} {
			if a, err := e.Query(t.Context(), kctport.Query{Services: []kctport.ServiceName{"s"}, Body: []byte(body)}); err != nil || !a.Coverage.Complete() {
				t.Errorf("body %q: %+v, %v", body, a.Coverage, err)
			}
		}
	})
}

// TestOwnerChange guards against a request that fails before its deadline because every endpoint refuses it during a change
// of owner, and against retries in quick succession meanwhile.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(400 * time.Millisecond)
		f := newFleet(1, 6, varyingShards, func(*rand.Rand, kctport.PartCall) (time.Duration, error) {
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
