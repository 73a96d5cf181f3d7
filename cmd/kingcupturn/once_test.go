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

// onceSeed drives the order of callers and faults.
const onceSeed = 20261204

// execution is one caller's view of one key: what it was told last.
type execution struct {
	key  string
	told string
}

// Callers resend with the same key through other entries while entries are killed and paused and endpoints lose
// replies. No key may run twice, no run may be reported as not run, and no key reported done may be missing.
func TestExecutionsRunAtMostOnce(t *testing.T) {
	t.Logf("seed %d", onceSeed)
	d := deploy(t, 5, 1)
	for _, e := range d.fleet.Endpoints {
		e.SetFaults(kctwire.EndpointFaults{ResetAfter: 0.1, ResetBefore: 0.05})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var mu sync.Mutex
	var all []execution
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
		d.disturb(ctx, random)
	}
	group.Wait()
	d.judge(t, all)
	if !porcupine.CheckOperations(onceModel(), history) {
		t.Error("the history of the callers is not that of requests which run at most once")
	}
}

// disturb pauses one entry for up to 3 s; the third entry is killed at the first chance.
func (d *deployment) disturb(ctx context.Context, random *rand.Rand) {
	victim := d.entries[random.IntN(len(d.entries))]
	if victim == d.entries[2] {
		// A second kill of a process that has ended changes nothing.
		_ = victim.cmd.Process.Signal(syscall.SIGKILL)
		pause(ctx, time.Second)
		return
	}
	_ = victim.cmd.Process.Signal(syscall.SIGSTOP)
	pause(ctx, time.Duration(random.IntN(3000))*time.Millisecond)
	_ = victim.cmd.Process.Signal(syscall.SIGCONT)
	pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// execute fetches a key, sends a request with it and sends it again through other entries while its end is open.
func (d *deployment) execute(ctx context.Context, random *rand.Rand, client int, begin time.Time) (execution, []porcupine.Operation) {
	var keys struct{ Keys []string }
	call, cancel := context.WithTimeout(ctx, time.Second)
	_, err := request(call, http.MethodPost, d.entries[random.IntN(len(d.entries))].caller, "/v1/keys", map[string]any{"count": 1}, &keys)
	cancel()
	if err != nil || len(keys.Keys) == 0 {
		return execution{}, nil
	}
	x := execution{key: keys.Keys[0]}
	var operations []porcupine.Operation
	for range 1 + random.IntN(4) {
		from := time.Since(begin)
		x.told = d.attempt(x.key, random)
		operations = append(operations, porcupine.Operation{
			ClientId: client, Input: x.key, Call: int64(from), Output: x.told, Return: int64(time.Since(begin)),
		})
	}
	return x, operations
}

// attempt sends the request once and returns what the caller learns: done, no or unknown.
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

// judge compares what callers were told with what the endpoints ran.
func (d *deployment) judge(t *testing.T, all []execution) {
	t.Helper()
	told := make(map[string]int)
	needless := 0
	for _, x := range all {
		runs := 0
		for _, e := range d.fleet.Endpoints {
			runs += e.Runs(x.key)
		}
		told[x.told]++
		switch {
		case runs > 1:
			t.Errorf("key %s ran %d times", x.key, runs)
		case runs == 1 && x.told == "no":
			t.Errorf("key %s ran and its caller was told that it did not", x.key)
		case runs == 0 && x.told == "done":
			t.Errorf("key %s did not run and its caller was told that it did", x.key)
		case runs == 0 && x.told == "unknown":
			needless++
		}
	}
	t.Logf("%d keys, last told %v, %d unknown that had not run", len(all), told, needless)
	if told["done"] == 0 {
		t.Error("no execution succeeded")
	}
}

// onceModel accepts the histories of one key in which a request reported done stays done and one reported as not run never runs.
func onceModel() porcupine.Model {
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
