package kctusage

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	kctport "kingcupturn"
)

const (
	// interval is the time between two measurements; callers hold the directory's answers for a few seconds.
	interval = time.Second
	// smoothing is the weight of one measurement, so that the load of about three seconds counts.
	smoothing = 0.3
	// step is the rounding of the published share, since each change of it is told to all entries.
	step = 0.1
)

// Meter follows the share of the allowed processor time that this process uses.
type Meter struct {
	timer kctport.Timer
	cores float64
	share atomic.Uint64
}

// New returns a meter for a process that may use a number of cores.
func New(timer kctport.Timer, cores float64) *Meter {
	return &Meter{timer: timer, cores: cores}
}

// Share returns the share in use, 0 to 1, in coarse steps.
func (m *Meter) Share() float64 {
	return math.Float64frombits(m.share.Load())
}

// Run measures until the context ends; the channel closes then.
func (m *Meter) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.measure(ctx)
	}()
	return done
}

func (m *Meter) measure(ctx context.Context) {
	ticks := m.timer.Subscribe(ctx, interval)
	at, spent := m.timer.Now(), used()
	smooth := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now, total := m.timer.Now(), used()
		if wall := now.Sub(at); wall > 0 {
			smooth += smoothing * (float64(total-spent)/float64(wall)/m.cores - smooth)
		}
		at, spent = now, total
		m.share.Store(math.Float64bits(min(1, math.Round(smooth/step)*step)))
	}
}

// used returns the processor time of the process since its start; 0 when the system doesn't tell.
func used() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
