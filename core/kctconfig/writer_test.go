package kctconfig_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/io/kctcodec"
	"kingcupturn/io/kcttimer"
)

// faultyStore is a fake store. When faulty is set, a write may fail without an effect, or lose its reply before it takes
// effect, after it, or up to 3 s before it.
type faultyStore struct {
	kctport.Store
	mu     sync.Mutex
	random *rand.Rand
	faulty bool
	record kctport.Record
}

func (s *faultyStore) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *faultyStore) Read(context.Context, string) (kctport.Record, error) {
	time.Sleep(time.Duration(s.draw() * float64(5*time.Millisecond)))
	if s.faulty && s.draw() < 0.1 {
		return kctport.Record{}, kctport.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Version == 0 {
		return kctport.Record{}, kctport.ErrNotFound
	}
	return s.record, nil
}

func (s *faultyStore) Write(_ context.Context, key string, value []byte, expected uint64, _ kctport.Lease) (uint64, error) {
	time.Sleep(time.Duration(s.draw() * float64(5*time.Millisecond)))
	p := 1.0
	if s.faulty {
		p = s.draw()
	}
	switch {
	case p < 0.1:
		return 0, kctport.ErrUnavailable
	case p < 0.2:
		return 0, kctport.ErrUnknown
	case p < 0.3:
		// The write takes effect after its writer has stopped waiting.
		go func() {
			time.Sleep(time.Duration(s.draw() * float64(3*time.Second)))
			_, _ = s.put(key, value, expected)
		}()
		return 0, kctport.ErrUnknown
	case p < 0.5:
		_, _ = s.put(key, value, expected)
		return 0, kctport.ErrUnknown
	}
	return s.put(key, value, expected)
}

func (s *faultyStore) put(key string, value []byte, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Version != expected {
		return 0, kctport.ErrConflict
	}
	s.record = kctport.Record{Key: key, Value: value, Version: expected + 1}
	return s.record.Version, nil
}

func (s *faultyStore) config(t *testing.T) kctport.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Version == 0 {
		return kctconfig.Default()
	}
	config, err := kctcodec.DecodeConfig(s.record.Value)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func newWriter(s *faultyStore) *kctconfig.Writer {
	return kctconfig.NewWriter(s, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New(), kctconfig.WithJitter(s.draw))
}

// sequentialModel defines the results that a configuration may give when changes are applied one after another; a state
// is a configuration.
var sequentialModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{kctconfig.Default()} },
	Step: func(state, input, output any) []any {
		config, request := state.(kctport.Config), input.(kctport.ChangeRequest)
		if final, ok := output.(kctport.Config); ok {
			return slices.DeleteFunc([]any{config}, func(any) bool { return !sameHistory(config, final) })
		}
		result := output.(kctport.ChangeResult)
		next, err := kctconfig.Apply(config, request, time.Time{})
		c, applied := kctconfig.FindChange(next, request.ID)
		switch {
		case result.Outcome == kctport.Accepted && applied && c.Revision == result.Revision:
			return []any{next}
		// A writer that gives up without a write in doubt may refuse in any state without the change.
		case result.Outcome == kctport.Refused && !errors.Is(err, kctconfig.ErrApplied) && (err != nil || strings.HasPrefix(result.Message, "gave up")):
			return []any{config}
		case result.Outcome == kctport.Unknown:
			return []any{config, next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return sameHistory(a.(kctport.Config), b.(kctport.Config)) },
}

func sameHistory(x, y kctport.Config) bool {
	return x.Revision == y.Revision && slices.EqualFunc(x.History, y.History, func(c, d kctport.Change) bool { return c.ID == d.ID })
}

// anyTime is later than the logical time of every call.
const anyTime = 1 << 40

// runWriters changes zones from four goroutines, each change through a Writer of its own; two goroutines each send the
// same changes, as resends do.
func runWriters(s *faultyStore, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var clock atomic.Int64
	var operations []porcupine.Operation
	for writer := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(writer)))
		wait.Go(func() {
			for i := range 5 {
				request := kctport.ChangeRequest{ID: fmt.Sprint(writer/2, "-", i), Kind: kctport.TakeZoneOut}
				request.Zone = kctport.ZoneOut{Zone: kctport.Zone(fmt.Sprint(i % 2)), Reason: "r"}
				if writer >= 2 {
					request.Kind = kctport.ReturnZone
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.Int64N(int64(300*time.Millisecond))))
				call := clock.Add(1)
				_, result := newWriter(s).Change(ctx, request)
				cancel()
				o := porcupine.Operation{ClientId: writer, Input: request, Call: call, Output: result, Return: clock.Add(1)}
				if result.Outcome == kctport.Unknown {
					// Its write may take effect at any later time.
					o.Return = anyTime
				}
				mu.Lock()
				operations = append(operations, o)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return operations
}

// Guards against a change that is lost, applied twice, or reported as accepted or refused when it was not, while
// writers race and replies are lost. A linearizability check compares the outcomes with a sequential model.
func TestRacingWriters(t *testing.T) {
	outcomes := map[kctport.Outcome]int{}
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			s := &faultyStore{random: rand.New(rand.NewPCG(seed, 99)), faulty: true}
			operations := runWriters(s, seed)
			// Late writes take effect before the final state is read.
			time.Sleep(time.Minute)
			final := s.config(t)
			for _, o := range operations {
				outcomes[o.Output.(kctport.ChangeResult).Outcome]++
				checkFinal(t, seed, final, o)
			}
			operations = append(operations, porcupine.Operation{ClientId: 4, Input: kctport.ChangeRequest{}, Call: anyTime, Output: final, Return: anyTime + 1})
			if r := porcupine.CheckOperationsTimeout(sequentialModel.ToModel(), operations, 20*time.Second); r != porcupine.Ok {
				t.Errorf("seed %d: history is %s:\n%s", seed, r, formatOperations(operations))
			}
		})
	}
	for _, o := range []kctport.Outcome{kctport.Accepted, kctport.Refused, kctport.Unknown} {
		if outcomes[o] == 0 {
			t.Errorf("no change had the outcome %s, which the test must cover", o)
		}
	}
	t.Logf("accepted %d, refused %d, unknown %d", outcomes[kctport.Accepted], outcomes[kctport.Refused], outcomes[kctport.Unknown])
}

// formatOperations formats one operation per line.
func formatOperations(operations []porcupine.Operation) string {
	var b strings.Builder
	for _, o := range operations {
		r := o.Input.(kctport.ChangeRequest)
		if c, ok := o.Output.(kctport.Config); ok {
			for _, h := range c.History {
				fmt.Fprintf(&b, "record %s at %d\n", h.ID, h.Revision)
			}
			continue
		}
		fmt.Fprintf(&b, "%d-%d %s %s %s: %+v\n", o.Call, o.Return, r.ID, r.Kind, r.Zone.Zone, o.Output)
	}
	return b.String()
}

// checkFinal compares an outcome with the record after all late writes have taken effect.
func checkFinal(t *testing.T, seed uint64, final kctport.Config, o porcupine.Operation) {
	request, result := o.Input.(kctport.ChangeRequest), o.Output.(kctport.ChangeResult)
	c, ok := kctconfig.FindChange(final, request.ID)
	if result.Outcome == kctport.Accepted && (!ok || c.Revision != result.Revision) {
		t.Errorf("seed %d: change %s was accepted at revision %d; in the record: %v, at revision %d", seed, request.ID, result.Revision, ok, c.Revision)
	}
}

// Guards against a change that fails although the store works, and against one that runs past its caller's deadline
// while the store is unavailable.
func TestWriterWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{random: rand.New(rand.NewPCG(1, 1))}
		for i := range 3 {
			request := kctport.ChangeRequest{ID: fmt.Sprint(i), Kind: kctport.SetDefault, Field: "queue", Value: "5"}
			config, result := newWriter(s).Change(t.Context(), request)
			if result.Outcome != kctport.Accepted || config.Revision != kctport.Revision(i+1) {
				t.Errorf("got %+v at revision %d, want an accepted change", result, config.Revision)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		_, result := kctconfig.NewWriter(unavailableStore{}, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New()).Change(ctx, kctport.ChangeRequest{ID: "x"})
		if result.Outcome != kctport.Unknown || time.Since(begin) > time.Second {
			t.Errorf("got %+v after %s, want Unknown within 1s", result, time.Since(begin))
		}
	})
}

type unavailableStore struct{ kctport.Store }

func (unavailableStore) Read(context.Context, string) (kctport.Record, error) {
	return kctport.Record{}, kctport.ErrUnavailable
}

// Guards against the outcome Refused while the first write may still take effect: its reply was lost, and a later read
// did not show it yet.
func TestWriteInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s := &pendingStore{}
		w := kctconfig.NewWriter(s, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New())
		_, result := w.Change(ctx, kctport.ChangeRequest{ID: "x", Kind: kctport.SetDefault, Field: "queue", Value: "5"})
		if result.Outcome != kctport.Unknown || s.writes < 2 {
			t.Errorf("got %+v after %d writes, want Unknown after at least 2", result, s.writes)
		}
	})
}

// pendingStore is a store that never shows the first write, whose reply is lost, and is unavailable for later writes.
type pendingStore struct {
	kctport.Store
	writes int
}

func (*pendingStore) Read(context.Context, string) (kctport.Record, error) {
	return kctport.Record{}, kctport.ErrNotFound
}

func (s *pendingStore) Write(context.Context, string, []byte, uint64, kctport.Lease) (uint64, error) {
	s.writes++
	if s.writes == 1 {
		return 0, kctport.ErrUnknown
	}
	return 0, kctport.ErrUnavailable
}

// TestChangeOverOlderCopy guards against an accepted change that the next one takes back, and against a history that loses it, because the store has come back
// from a copy that is older than the configuration in force.
func TestChangeOverOlderCopy(t *testing.T) {
	change := func(id, field, value string) kctport.ChangeRequest {
		return kctport.ChangeRequest{ID: id, Author: "operator", Kind: kctport.SetDefault, Field: field, Value: value}
	}
	for _, restored := range []bool{false, true} {
		s := &faultyStore{random: rand.New(rand.NewPCG(1, 1))}
		var inForce kctport.Config
		w := kctconfig.NewWriter(s, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New(), kctconfig.WithInForce(func() kctport.Config { return inForce }))
		accept := func(id, field, value string) {
			t.Helper()
			config, result := w.Change(t.Context(), change(id, field, value))
			if result.Outcome != kctport.Accepted {
				t.Fatalf("change %s: %+v", id, result)
			}
			inForce = config
		}
		accept("first", "canary", "false")
		older := s.record
		accept("lost", "queue", "77")
		s.record = kctport.Record{Key: older.Key, Value: older.Value, Version: s.record.Version + 1}
		// Entries send each other only the last changes of the history.
		inForce.History = inForce.History[1:]
		if restored {
			if err := w.Restore(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		accept("next", "deadline", "900ms")
		final := s.config(t)
		if d := final.Defaults; d.Canary || d.Queue != 77 || d.Deadline != 900*time.Millisecond || final.Revision != 3 {
			t.Errorf("written again %t: revision %d with %+v, want all three changes", restored, final.Revision, d)
		}
		for _, id := range []string{"first", "lost", "next"} {
			if _, ok := kctconfig.FindChange(final, id); !ok {
				t.Errorf("written again %t: change %s is not in the history", restored, id)
			}
		}
	}
}
