package kctburn

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against windows that take in samples outside of them and against a wrong sign of the budget.
func TestEvaluate(t *testing.T) {
	end := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	s := Series{
		{At: end.Add(-2 * time.Hour)},
		{At: end.Add(-30 * time.Minute), Total: 1000, Good: 1000},
		{At: end.Add(-4 * time.Minute), Total: 2000, Good: 1980},
		{At: end, Total: 3000, Good: 2970},
	}
	r := Evaluate(0.99, []Series{s}, end)
	for name, v := range map[string][2]float64{
		"measured": {r.Measured, 0.99}, "left": {r.BudgetLeft, 0}, "short": {r.ShortBurnRate, 1}, "long": {r.LongBurnRate, 1.5},
	} {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, v[0], v[1])
		}
	}
}

// Guards against negative or lost counts when a process restarts between samples.
func TestIncreaseAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(0, 0)
		var s Series
		var total, good, want float64
		s = append(s, Sample{At: at})
		for range rapid.IntRange(1, 30).Draw(t, "samples") {
			more := float64(rapid.IntRange(1, 100).Draw(t, "more"))
			if rapid.Bool().Draw(t, "restart") && more < total {
				total, good = 0, 0
			}
			total, good, want = total+more, good+more, want+more
			at = at.Add(time.Second)
			s = append(s, Sample{At: at, Total: total, Good: good})
		}
		if got := Increase([]Series{s}, time.Time{}, at); got.Total != want || got.Good != want {
			t.Fatalf("increase is %v, want %v", got, want)
		}
	})
}
