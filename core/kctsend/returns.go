package kctsend

import (
	"sync"
	"sync/atomic"
	"time"

	kctport "kingcupturn"
)

const (
	// defaultReturn is the estimate before the first measurement; the one-way latency between zones is 0.5 ms to 1 ms.
	defaultReturn = time.Millisecond
	// maxReturn bounds a measurement, which includes time in the owner's queue.
	maxReturn = 10 * time.Millisecond
	// downWeight and upWeight divide the difference of a measurement below or above
	// the estimate. The estimate stays near the smallest measurements, since the
	// others include time in the owner's queue.
	downWeight = 4
	upWeight   = 64
)

// returnTimes estimates the one-way time of a reply from each owner to this entry; the zero value is ready.
type returnTimes struct {
	times sync.Map // kctport.InstanceID to *atomic.Int64
}

// add records the duration of a relayed attempt without the time at the endpoint; half of it is the return time.
func (t *returnTimes) add(owner kctport.InstanceID, overhead time.Duration) {
	c, ok := t.times.Load(owner)
	if !ok {
		initial := new(atomic.Int64)
		initial.Store(int64(defaultReturn))
		c, _ = t.times.LoadOrStore(owner, initial)
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
