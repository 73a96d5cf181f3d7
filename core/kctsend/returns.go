package kctsend

import (
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

const (
	// defaultReturn is assumed until a relay was measured; zones are 0.5 ms to 1 ms apart one way.
	defaultReturn = time.Millisecond
	// maxReturn bounds the estimate, so that time spent in an owner's queue
	// can't grow into it without limit.
	maxReturn = 10 * time.Millisecond
	// downWeight and upWeight are divisors of a new measurement below and above
	// the estimate. Time in the owner's queue is part of the measurement, so the
	// estimate stays near the smallest ones.
	downWeight = 4
	upWeight   = 64
)

// returnTimes estimates the time that a reply takes back from each owner; the zero value is ready.
type returnTimes struct {
	times sync.Map // kctport.InstanceID to *atomic.Int64
}

// add takes the part of a relay's duration that the endpoint did not take; half of it is the way back.
func (t *returnTimes) add(owner kctport.InstanceID, overhead time.Duration) {
	c, ok := t.times.Load(owner)
	if !ok {
		fresh := new(atomic.Int64)
		fresh.Store(int64(defaultReturn))
		c, _ = t.times.LoadOrStore(owner, fresh)
	}
	a := c.(*atomic.Int64)
	sample := min(max(overhead/2, 0), maxReturn)
	old := a.Load()
	d := int64(sample) - old
	if d < 0 {
		a.Store(old + d/downWeight)
	} else {
		a.Store(old + d/upWeight)
	}
}

func (t *returnTimes) estimate(owner kctport.InstanceID) time.Duration {
	c, ok := t.times.Load(owner)
	if !ok {
		return defaultReturn
	}
	return time.Duration(c.(*atomic.Int64).Load())
}
