package kctretry

import (
	"time"

	kctport "kingcupturn"
)

// NoHedge disables hedging.
type NoHedge struct{}

// Delay implements kctport.Hedger.
func (NoHedge) Delay(kctport.ServiceName) (time.Duration, bool) { return 0, false }

// Observe implements kctport.Hedger.
func (NoHedge) Observe(kctport.ServiceName, time.Duration) {}

// FixedHedge is a delay after which the parts of every service are hedged.
type FixedHedge time.Duration

// Delay implements kctport.Hedger.
func (f FixedHedge) Delay(kctport.ServiceName) (time.Duration, bool) { return time.Duration(f), true }

// Observe implements kctport.Hedger.
func (FixedHedge) Observe(kctport.ServiceName, time.Duration) {}
