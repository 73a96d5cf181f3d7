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

// store is a fake store that loses replies before, after and long before a write takes effect.
type store struct {
	kctport.Store
	mu     sync.Mutex
	random *rand.Rand
	faulty bool
	record kctport.Record
}

func (s *store) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *store) Read(context.Context, string) (kctport.Record, error) {
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

func (s *store) Write(_ context.Context, key string, value []byte, expected uint64, _ kctport.Lease) (uint64, error) {
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
		// The write is under way for longer than its client waits.
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

func (s *store) put(key string, value []byte, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Version != expected {
		return 0, kctport.ErrConflict
	}
	s.record = kctport.Record{Key: key, Value: value, Version: expected + 1}
	return s.record.Version, nil
}

func (s *store) config(t *testing.T) kctport.Config {
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

func newWriter(s *store) *kctconfig.Writer {
	return kctconfig.NewWriter(s, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New(), kctconfig.WithJitter(s.draw))
}

// sequential says which results a configuration that takes one change after another may give; a state is a configuration.
var sequential = porcupine.NondeterministicModel{
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
		// A writer that gives up without a write in doubt may refuse in any state in which the change is absent.
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

// anyTime is later than all calls.
const anyTime = 1 << 40

// race lets clients change zones through writers of their own; two clients resend the same change now and then.
func race(s *store, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var clock atomic.Int64
	var operations []porcupine.Operation
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		wait.Go(func() {
			for i := range 5 {
				request := kctport.ChangeRequest{ID: fmt.Sprint(client/2, "-", i), Kind: kctport.TakeZoneOut}
				request.Zone = kctport.ZoneOut{Zone: kctport.Zone(fmt.Sprint(i % 2)), Reason: "r"}
				if client >= 2 {
					request.Kind = kctport.ReturnZone
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.Int64N(int64(300*time.Millisecond))))
				call := clock.Add(1)
				_, result := newWriter(s).Change(ctx, request)
				cancel()
				o := porcupine.Operation{ClientId: client, Input: request, Call: call, Output: result, Return: clock.Add(1)}
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

// Guards against a change that is lost, applied twice, or reported as accepted or refused when it was not, with racing writers and lost replies.
func TestRacingWriters(t *testing.T) {
	outcomes := map[kctport.Outcome]int{}
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			s := &store{random: rand.New(rand.NewPCG(seed, 99)), faulty: true}
			operations := race(s, seed)
			// Late writes land before the final state is read.
			time.Sleep(time.Minute)
			final := s.config(t)
			for _, o := range operations {
				outcomes[o.Output.(kctport.ChangeResult).Outcome]++
				checkFinal(t, seed, final, o)
			}
			operations = append(operations, porcupine.Operation{ClientId: 4, Input: kctport.ChangeRequest{}, Call: anyTime, Output: final, Return: anyTime + 1})
			if r := porcupine.CheckOperationsTimeout(sequential.ToModel(), operations, 20*time.Second); r != porcupine.Ok {
				t.Errorf("seed %d: history is %s:\n%s", seed, r, describe(operations))
			}
		})
	}
	for _, o := range []kctport.Outcome{kctport.Accepted, kctport.Refused, kctport.Unknown} {
		if outcomes[o] == 0 {
			t.Errorf("no change was %s", o)
		}
	}
	t.Logf("accepted %d, refused %d, unknown %d", outcomes[kctport.Accepted], outcomes[kctport.Refused], outcomes[kctport.Unknown])
}

// describe prints one operation a line.
func describe(operations []porcupine.Operation) string {
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

// checkFinal compares an outcome with the record after every late write has landed.
func checkFinal(t *testing.T, seed uint64, final kctport.Config, o porcupine.Operation) {
	request, result := o.Input.(kctport.ChangeRequest), o.Output.(kctport.ChangeResult)
	c, ok := kctconfig.FindChange(final, request.ID)
	if result.Outcome == kctport.Accepted && (!ok || c.Revision != result.Revision) {
		t.Errorf("seed %d: %s accepted at %d, record says %v at %d", seed, request.ID, result.Revision, ok, c.Revision)
	}
}

// Guards against a change that fails although the store works, and against one that outlives its caller's deadline in an outage.
func TestWriterWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{random: rand.New(rand.NewPCG(1, 1))}
		for i := range 3 {
			request := kctport.ChangeRequest{ID: fmt.Sprint(i), Kind: kctport.SetDefault, Field: "queue", Value: "5"}
			config, result := newWriter(s).Change(t.Context(), request)
			if result.Outcome != kctport.Accepted || config.Revision != kctport.Revision(i+1) {
				t.Errorf("%+v at revision %d", result, config.Revision)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, result := kctconfig.NewWriter(outage{}, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New()).Change(ctx, kctport.ChangeRequest{ID: "x"})
		if result.Outcome != kctport.Unknown || time.Since(began) > time.Second {
			t.Errorf("%+v after %s", result, time.Since(began))
		}
	})
}

type outage struct{ kctport.Store }

func (outage) Read(context.Context, string) (kctport.Record, error) {
	return kctport.Record{}, kctport.ErrUnavailable
}

// Guards against a refusal while the first write is still under way, after a read that didn't show it yet.
func TestWriteInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s := &late{}
		w := kctconfig.NewWriter(s, kctcodec.EncodeConfig, kctcodec.DecodeConfig, kcttimer.New())
		_, result := w.Change(ctx, kctport.ChangeRequest{ID: "x", Kind: kctport.SetDefault, Field: "queue", Value: "5"})
		if result.Outcome != kctport.Unknown || s.writes < 2 {
			t.Errorf("%+v after %d writes", result, s.writes)
		}
	})
}

// late is a store that hasn't carried out the first write yet and takes no others.
type late struct {
	kctport.Store
	writes int
}

func (*late) Read(context.Context, string) (kctport.Record, error) {
	return kctport.Record{}, kctport.ErrNotFound
}

func (s *late) Write(context.Context, string, []byte, uint64, kctport.Lease) (uint64, error) {
	s.writes++
	if s.writes == 1 {
		return 0, kctport.ErrUnknown
	}
	return 0, kctport.ErrUnavailable
}
