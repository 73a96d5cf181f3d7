package kctidempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	kctport "kingcupturn"
)

// clock is a timer on the current time, which is simulated inside synctest bubbles.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func (clock) Subscribe(context.Context, time.Duration) <-chan time.Time { return nil }

func (clock) After(_ context.Context, d time.Duration) <-chan time.Time { return time.After(d) }

func reply(_ context.Context, e kctport.Execution) (kctport.Result, error) {
	return kctport.Result{Key: e.Key}, nil
}

// TestKeys guards against a wrong error for a key that this table cannot run: ErrNotRun where the request may have run elsewhere, or ErrUnknown where it did not run.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("entry.1", 7, clock{}, WithCapacity(2))
		keys, ttl := table.Issue(4)
		if id, inc, err := table.Parse(keys[0]); id != "entry.1" || inc != 7 || err != nil || ttl != Lifetime {
			t.Fatalf("got %s, %d, %v, %v", id, inc, err, ttl)
		}
		run := func(key, body string) error {
			_, err := table.Run(t.Context(), kctport.Execution{Key: key, Body: []byte(body)}, reply)
			return err
		}
		other, _ := NewTable("entry.1", 8, clock{}).Issue(1)
		forged, _ := NewTable("entry.1", 7, clock{}).Issue(1)
		cases := []struct {
			name, key, body string
			want, not       error
		}{
			{"fresh", keys[0], "a", nil, nil},
			{"other body", keys[0], "b", kctport.ErrInvalid, kctport.ErrUnknown},
			{"other body is not run", keys[0], "b", kctport.ErrNotRun, kctport.ErrUnknown},
			{"other incarnation", other[0], "a", kctport.ErrUnknown, kctport.ErrNotRun},
			{"not issued", forged[0], "a", kctport.ErrNotRun, kctport.ErrUnknown},
			{"malformed", "x", "a", kctport.ErrInvalid, kctport.ErrUnknown},
			{"second", keys[1], "a", nil, nil},
			{"table full", keys[2], "a", kctport.ErrShed, kctport.ErrNotRun},
		}
		for _, c := range cases {
			if err := run(c.key, c.body); !errors.Is(err, c.want) || c.not != nil && errors.Is(err, c.not) {
				t.Errorf("%s: got %v", c.name, err)
			}
		}
		time.Sleep(Lifetime)
		for _, key := range keys {
			if err := run(key, "a"); !errors.Is(err, kctport.ErrUnknown) || errors.Is(err, kctport.ErrNotRun) {
				t.Errorf("after the lifetime: got %v", err)
			}
		}
		if n := table.Used(); n != 0 {
			t.Errorf("%d keys stored after their lifetime", n)
		}
	})
}

// attemptInput and attemptOutput describe one send of a key in a history for porcupine.
type attemptInput struct{ key int }

type attemptOutput struct {
	ran int
	err error
}

const (
	// replyLost is the state of a key whose run ended without a reply.
	replyLost = -1
	// refused is the state of a key for which ErrNotRun was returned.
	refused = -2
)

// model is the sequential specification of a key; its state is the number of the run whose result is returned, 0 before the first use.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(attemptInput).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, p := range byKey {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		s, o := state.(int), output.(attemptOutput)
		switch {
		case o.err == nil:
			return s == 0 || s == o.ran, o.ran
		case notRun(o.err):
			return s == 0 || s == refused, refused
		case errors.Is(o.err, kctport.ErrReset):
			return s == 0 || s == replyLost, replyLost
		default:
			return true, s
		}
	},
}

// TestHistories guards against a key that runs twice, returns different results, or returns ErrNotRun after it ran, when several callers send it at once and time out.
func TestHistories(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	const keys, callers, sends = 4, 6, 8
	table := NewTable("entry", 1, clock{})
	issued, _ := table.Issue(keys)
	var effects [keys]atomic.Int32
	var runs atomic.Int32
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	start := time.Now()
	for caller := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		wait.Go(func() {
			for range sends {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				key, choice := random.IntN(keys), random.IntN(4)
				duration := time.Duration(random.IntN(30)) * time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+random.IntN(40))*time.Millisecond)
				call := time.Since(start)
				r, err := table.Run(ctx, kctport.Execution{Key: issued[key]}, func(ctx context.Context, _ kctport.Execution) (kctport.Result, error) {
					time.Sleep(duration)
					if ctx.Err() != nil {
						t.Errorf("seed %d: run was cancelled when a caller timed out", seed)
					}
					return outcomeOf(choice, &effects[key], &runs)
				})
				cancel()
				o := porcupine.Operation{ClientId: caller, Input: attemptInput{key}, Call: int64(call), Return: int64(time.Since(start))}
				out := attemptOutput{err: err}
				if err == nil {
					_, _ = fmt.Sscan(r.Key, &out.ran)
				}
				o.Output = out
				mu.Lock()
				history = append(history, o)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	table.Wait()
	for k := range effects {
		if n := effects[k].Load(); n > 1 {
			t.Errorf("seed %d: key %d ran %d times", seed, k, n)
		}
	}
	if !porcupine.CheckOperations(model, history) {
		t.Errorf("seed %d: no sequential order of the sends gives these outcomes", seed)
	}
}

// outcomeOf simulates a run: one that did not take place, one whose reply was lost, or a success.
func outcomeOf(choice int, effect, runs *atomic.Int32) (kctport.Result, error) {
	if choice == 0 {
		return kctport.Result{}, kctport.ErrNotRun
	}
	effect.Add(1)
	if choice == 1 {
		return kctport.Result{}, errors.Join(kctport.ErrReset, kctport.ErrNotRun, kctport.ErrUnknown)
	}
	return kctport.Result{Key: fmt.Sprint(runs.Add(1))}, nil
}

// TestRefusalIsFinal guards against a request that runs after its caller received ErrNotRun. This happens when an earlier send with
// the same key arrives late, because the entry that issued the key was paused.
func TestRefusalIsFinal(t *testing.T) {
	table := NewTable("entry", 1, clock{})
	keys, _ := table.Issue(1)
	refuse := func(context.Context, kctport.Execution) (kctport.Result, error) {
		return kctport.Result{}, kctport.ErrNotRun
	}
	if _, err := table.Run(t.Context(), kctport.Execution{Key: keys[0]}, refuse); !notRun(err) {
		t.Fatalf("refused send: got %v, want ErrNotRun", err)
	}
	late := func(context.Context, kctport.Execution) (kctport.Result, error) {
		t.Error("the late send ran after the refusal")
		return kctport.Result{}, nil
	}
	if _, err := table.Run(t.Context(), kctport.Execution{Key: keys[0]}, late); !notRun(err) {
		t.Errorf("late send: got %v, want ErrNotRun", err)
	}
}
