package kctsend

import (
	"sync"
	"sync/atomic"

	kctport "kingcupturn"
)

// outstanding counts attempts in flight by endpoint; the zero value is ready.
type outstanding struct {
	counts sync.Map // kctport.InstanceID to *atomic.Int64
}

func (o *outstanding) add(id kctport.InstanceID, n int64) {
	c, ok := o.counts.Load(id)
	if !ok {
		c, _ = o.counts.LoadOrStore(id, new(atomic.Int64))
	}
	c.(*atomic.Int64).Add(n)
}

func (o *outstanding) count(id kctport.InstanceID) int {
	c, ok := o.counts.Load(id)
	if !ok {
		return 0
	}
	return int(c.(*atomic.Int64).Load())
}
