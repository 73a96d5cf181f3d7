package kctburn_test

import (
	"fmt"
	"time"

	"kingcupturn/core/kctburn"
)

func ExampleEvaluate() {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	series := kctburn.Series{
		{At: now.Add(-30 * time.Minute)},
		{At: now.Add(-4 * time.Minute), Total: 9000, Good: 8990},
		{At: now, Total: 10000, Good: 9970},
	}
	r := kctburn.Evaluate(0.99, []kctburn.Series{series}, now)
	fmt.Printf("measured %.1f%%, budget left %.0f%%, burn %.1f and %.1f\n", 100*r.Measured, 100*r.BudgetLeft, r.ShortBurnRate, r.LongBurnRate)
	// Output: measured 99.7%, budget left 70%, burn 2.0 and 0.3
}
