package kctsuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	kctport "kingcupturn"
)

// crash records a crash with requests in flight, each sent at the moment before it, after the endpoint had run for a time.
func (m *Memory) crash(endpoint int, lifetime time.Duration, inFlight time.Duration, bodies ...kctport.Fingerprint) []kctport.Suspicion {
	sent := m.Mark()
	var involved []Involved
	for _, f := range bodies {
		involved = append(involved, Involved{Fingerprint: f, Sent: sent, Cut: m.Mark(), InFlight: inFlight})
	}
	return m.RecordCrash(Incarnation{kctport.InstanceID(fmt.Sprint("e", endpoint)), time.Unix(5, 0)}, lifetime, involved)
}

// TestEvidence guards against a verdict on crashes that say little of a request, and against one that is not reached.
func TestEvidence(t *testing.T) {
	const mine, other kctport.Fingerprint = 1, 2
	for name, c := range map[string]struct {
		play    func(m *Memory)
		crashes int
		refused bool
	}{
		"two crashes": {func(m *Memory) {
			for i := range 2 {
				m.crash(i, time.Hour, time.Millisecond, mine)
			}
		}, 2, false},
		"three crashes": {func(m *Memory) {
			for i := range 3 {
				m.crash(i, time.Hour, time.Millisecond, mine)
			}
		}, 3, true},
		"crashes at the same moment": {func(m *Memory) {
			sent := m.Mark()
			for i := range 5 {
				m.RecordCrash(Incarnation{kctport.InstanceID(fmt.Sprint(i)), time.Unix(5, 0)}, time.Hour, []Involved{{Fingerprint: mine, Sent: sent, Cut: m.Mark()}})
			}
		}, 1, false},
		"one crash told by two entries": {func(m *Memory) {
			s := kctport.Suspicion{Fingerprint: mine, Crashes: 1, Endpoint: "x", Started: time.Unix(9, 0), Lifetime: time.Hour}
			m.Merge([]kctport.Suspicion{s})
			m.Merge([]kctport.Suspicion{s, s})
		}, 1, false},
		"a run that ended well": {func(m *Memory) {
			for i := range 4 {
				m.crash(i, time.Hour, time.Millisecond, mine)
			}
			m.RecordSuccess(mine)
		}, 0, false},
		"a run that ended well and three crashes": {func(m *Memory) {
			m.crash(0, time.Hour, time.Millisecond, mine)
			m.RecordSuccess(mine)
			for i := range 3 {
				m.crash(i+1, time.Hour, time.Millisecond, mine)
			}
		}, 3, true},
		"endpoints that crash all the time": {func(m *Memory) {
			for i := range weakLimit - 1 {
				m.crash(i, time.Second, 400*time.Millisecond, mine)
			}
		}, weakLimit - 1, false},
		"endpoints that crash all the time, and no run ends": {func(m *Memory) {
			for i := range weakLimit {
				m.crash(i, time.Second, 400*time.Millisecond, mine)
			}
		}, weakLimit, true},
		"another request crashes them": {func(m *Memory) {
			m.crash(0, time.Hour, time.Millisecond, other)
			for i := range 4 {
				m.crash(i+1, time.Hour, 30*time.Millisecond, mine, other)
			}
		}, 0, false},
		"another request crashes them, as another entry tells later": {func(m *Memory) {
			for i := range 3 {
				m.crash(i, time.Hour, 30*time.Millisecond, mine)
			}
			for i := range 3 {
				m.Merge([]kctport.Suspicion{{
					Fingerprint: other, Crashes: i + 2, Endpoint: kctport.InstanceID(fmt.Sprint("e", i)), Started: time.Unix(5, 0), InFlight: time.Millisecond, Lifetime: time.Hour,
				}})
			}
		}, 0, false},
		"as many crashes, in flight for longer": {func(m *Memory) {
			for i := range 4 {
				sent := m.Mark()
				m.RecordCrash(Incarnation{kctport.InstanceID(fmt.Sprint(i)), time.Unix(5, 0)}, time.Hour, []Involved{
					{Fingerprint: mine, Sent: sent, Cut: m.Mark(), InFlight: time.Second}, {Fingerprint: other, Sent: sent, Cut: m.Mark(), InFlight: time.Millisecond},
				})
			}
		}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMemory(&clock{now: time.Unix(1000, 0)})
			c.play(m)
			if refused := m.Refused(mine) > 0; m.Crashes(mine) != c.crashes || refused != c.refused {
				t.Errorf("%d crashes, refused %t; want %d, %t", m.Crashes(mine), refused, c.crashes, c.refused)
			}
		})
	}
}

// TestOrderOfSuspicions guards against entries that differ in their verdicts because the evidence reached them in another order.
func TestOrderOfSuspicions(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := NewMemory(c)
		var all []kctport.Suspicion
		for i := range 12 {
			bodies := []kctport.Fingerprint{kctport.Fingerprint(random.IntN(4))}
			if b := kctport.Fingerprint(random.IntN(4)); b != bodies[0] {
				bodies = append(bodies, b)
			}
			all = append(all, m.crash(i, time.Minute, time.Duration(1+random.IntN(50))*time.Millisecond, bodies...)...)
			if random.IntN(10) == 0 {
				all = append(all, m.RecordSuccess(bodies[0])...)
			}
		}
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		other := NewMemory(c)
		for _, s := range slices.Concat(all, all[:len(all)/2]) {
			other.Merge([]kctport.Suspicion{s})
		}
		for f := range kctport.Fingerprint(4) {
			if m.Crashes(f) != other.Crashes(f) {
				t.Errorf("seed %d: %d and %d crashes of request %d", seed, m.Crashes(f), other.Crashes(f), f)
			}
		}
	}
}

// TestSpreadEnds guards against entries that tell each other of the crashes of a request without end, since each holds some that others have dropped.
func TestSpreadEnds(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	var memories []*Memory
	for i := range 3 {
		m := NewMemory(c)
		for j := range 3 * maxStrikes {
			m.crash(100*i+j, time.Hour, time.Millisecond, 1)
			if j%5 == 0 {
				m.Merge([]kctport.Suspicion{{Fingerprint: 1, Crashes: 1 + j/2, Endpoint: kctport.InstanceID(fmt.Sprint("other", i, j)), Lifetime: time.Hour}})
			}
		}
		memories = append(memories, m)
	}
	spread := 0
	news := make([][]kctport.Suspicion, len(memories))
	for i, m := range memories {
		news[i] = m.Suspicions()
	}
	for rounds := 0; len(slices.Concat(news...)) > 0; rounds++ {
		if rounds > 10 {
			t.Fatalf("%d suspicions are still on their way", len(slices.Concat(news...)))
		}
		next := make([][]kctport.Suspicion, len(memories))
		for from := range memories {
			for to, m := range memories {
				if to != from {
					got := m.Merge(news[from])
					next[to] = append(next[to], got...)
					spread += len(got)
				}
			}
		}
		news = next
	}
	t.Logf("%d suspicions were news to an entry", spread)
	for _, m := range memories {
		if m.Refused(1) == 0 || len(m.suspects[1].strikes) > maxStrikes {
			t.Errorf("refused %v, %d crashes kept", m.Refused(1), len(m.suspects[1].strikes))
		}
	}
}

// TestMemoryIsBounded guards against a memory that grows with each request that was in flight at a crash, or that forgets a quarantined one for others.
func TestMemoryIsBounded(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	m := NewMemory(c)
	for i := range 3 {
		m.crash(i, time.Hour, time.Millisecond, 1)
	}
	for i := range 2 * maxSuspects {
		m.crash(10+i, time.Hour, time.Millisecond, kctport.Fingerprint(100+i))
	}
	if suspects, refused := m.Counts(); suspects > maxSuspects || refused != 1 || len(m.crashed) > suspects+3 {
		t.Errorf("%d suspects, %d refused, %d crashes", suspects, refused, len(m.crashed))
	}
	c.now = c.now.Add(SuspicionLifetime + 2*Quarantine)
	m.crash(0, time.Hour, time.Millisecond, 2)
	if suspects, _ := m.Counts(); suspects != 1 || len(m.crashed) != 1 {
		t.Errorf("%d suspects and %d crashes after the lifetime of suspicions, want 1", suspects, len(m.crashed))
	}
}

// TestTrials guards against a request that is let through more than once at the end of its quarantine, and against quarantines that don't grow.
func TestTrials(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	var verdicts []Verdict
	m := NewMemory(c, WithOnVerdict(func(v Verdict) { verdicts = append(verdicts, v) }))
	for i := range CrashLimit {
		m.crash(i, time.Hour, time.Millisecond, 1)
	}
	wants := []time.Duration{Quarantine, 2 * Quarantine, 4 * Quarantine, 8 * Quarantine, 16 * Quarantine, 16 * Quarantine}
	for range 2 * maxStrikes {
		wants = append(wants, 16*Quarantine)
	}
	for n, want := range wants {
		if got := m.Admit(1); got != want {
			t.Errorf("refused for %v the %d. time, want %v", got, n+1, want)
		}
		c.now = c.now.Add(want)
		if m.Admit(1) != 0 || m.Admit(1) == 0 {
			t.Errorf("the request is not let through once after %v", want)
		}
		m.crash(10+n, time.Hour, time.Millisecond, 1)
	}
	m.RecordSuccess(1)
	if m.Admit(1) != 0 || m.Admit(1) != 0 {
		t.Error("refused after a run that ended well")
	}
	if last := verdicts[len(verdicts)-1]; len(verdicts) != len(wants)+2 || last.Refused != 0 {
		t.Errorf("%d verdicts, the last one %+v", len(verdicts), last)
	}
}
