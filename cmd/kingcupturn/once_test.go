package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kingcupturn/io/kctwire"
)

// onceSeed seeds the choices of callers and faults.
const onceSeed = 20261204

// keyOutcome is the last outcome that a caller received for a key.
type keyOutcome struct {
	key      string
	reported string
}

// Guards against executions that run twice, that run but are reported as not run, or that are reported done without
// having run. Callers resend with the same key through other entries while entries are killed and paused and endpoints
// drop replies.
func TestExecutionsRunAtMostOnce(t *testing.T) {
	t.Logf("seed %d", onceSeed)
	d := deploy(t, 5, 1)
	for _, e := range d.fleet.Endpoints {
		e.SetFaults(kctwire.EndpointFaults{ResetAfter: 0.1, ResetBefore: 0.05})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var mu sync.Mutex
	var all []keyOutcome
	var history []porcupine.Operation
	var group sync.WaitGroup
	begin := time.Now()
	for n := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(onceSeed, uint64(n)))
			for ctx.Err() == nil {
				x, operations := d.execute(ctx, random, n, begin)
				mu.Lock()
				if x.key != "" {
					all = append(all, x)
				}
				history = append(history, operations...)
				mu.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(onceSeed, 1000))
	for ctx.Err() == nil {
		d.injectFault(ctx, random)
	}
	group.Wait()
	d.checkOutcomes(t, all)
	if !porcupine.CheckOperations(atMostOnceModel(), history) {
		t.Error("the callers' history is not one of requests that run at most once")
	}
}

// injectFault pauses a random entry for up to 3 s, or kills it if it is the third.
func (d *deployment) injectFault(ctx context.Context, random *rand.Rand) {
	target := d.entries[random.IntN(len(d.entries))]
	if target == d.entries[2] {
		// Killing a process that has ended has no effect.
		_ = target.cmd.Process.Signal(syscall.SIGKILL)
		pause(ctx, time.Second)
		return
	}
	_ = target.cmd.Process.Signal(syscall.SIGSTOP)
	pause(ctx, time.Duration(random.IntN(3000))*time.Millisecond)
	_ = target.cmd.Process.Signal(syscall.SIGCONT)
	pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// execute fetches a key and sends a request with it 1 to 4 times, each time through a random entry.
func (d *deployment) execute(ctx context.Context, random *rand.Rand, callerIndex int, begin time.Time) (keyOutcome, []porcupine.Operation) {
	var keys struct{ Keys []string }
	call, cancel := context.WithTimeout(ctx, time.Second)
	_, err := request(call, http.MethodPost, d.entries[random.IntN(len(d.entries))].caller, "/v1/keys", map[string]any{"count": 1}, &keys)
	cancel()
	if err != nil || len(keys.Keys) == 0 {
		return keyOutcome{}, nil
	}
	x := keyOutcome{key: keys.Keys[0]}
	var operations []porcupine.Operation
	for range 1 + random.IntN(4) {
		from := time.Since(begin)
		x.reported = d.attempt(x.key, random)
		operations = append(operations, porcupine.Operation{
			ClientId: callerIndex, Input: x.key, Call: int64(from), Output: x.reported, Return: int64(time.Since(begin)),
		})
	}
	return x, operations
}

// attempt sends the request once and returns the outcome that the caller receives: done, no or unknown.
func (d *deployment) attempt(key string, random *rand.Rand) string {
	call, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	var a answer
	status, err := request(call, http.MethodPost, d.entries[random.IntN(len(d.entries))].caller, "/v1/execute", map[string]any{
		"key": key, "service": d.names[0], "route": "order", "text": "one crate for " + key, "deadline": "400ms",
	}, &a)
	switch {
	case err != nil:
		return "unknown"
	case status == http.StatusOK:
		return "done"
	}
	return a.Ran
}

// checkOutcomes compares the outcomes that callers received with what the endpoints ran.
func (d *deployment) checkOutcomes(t *testing.T, all []keyOutcome) {
	t.Helper()
	reported := make(map[string]int)
	unknownNotRun := 0
	for _, x := range all {
		runs := 0
		for _, e := range d.fleet.Endpoints {
			runs += e.Runs(x.key)
		}
		reported[x.reported]++
		switch {
		case runs > 1:
			t.Errorf("key %s ran %d times", x.key, runs)
		case runs == 1 && x.reported == "no":
			t.Errorf("key %s ran but was reported as not run", x.key)
		case runs == 0 && x.reported == "done":
			t.Errorf("key %s did not run but was reported done", x.key)
		case runs == 0 && x.reported == "unknown":
			unknownNotRun++
		}
	}
	t.Logf("%d keys, last outcomes %v, %d unknown that had not run", len(all), reported, unknownNotRun)
	if reported["done"] == 0 {
		t.Error("no execution succeeded")
	}
}

// atMostOnceModel accepts the histories in which no key is reported both done and not run.
func atMostOnceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range history {
				byKey[o.Input.(string)] = append(byKey[o.Input.(string)], o)
			}
			var out [][]porcupine.Operation
			for _, operations := range byKey {
				out = append(out, operations)
			}
			return out
		},
		Init: func() any { return "open" },
		Step: func(state, _, output any) (bool, any) {
			switch {
			case output == "done":
				return state != "no", "done"
			case output == "no":
				return state != "done", "no"
			}
			return true, state
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v: %v", input, output) },
	}
}
