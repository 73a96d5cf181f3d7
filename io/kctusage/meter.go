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
	// interval is the time between two measurements; callers cache the directory's answers for a few seconds.
	interval = time.Second
	// smoothing is the EWMA weight of one measurement; the average covers about three seconds.
	smoothing = 0.3
	// shareStep is the step to which the published share is rounded, since each change is sent to all entries.
	shareStep = 0.1
)

// Meter measures the share of the allowed CPU time that this process uses for requests.
type Meter struct {
	timer    kctport.Timer
	cores    float64
	requests func() uint64
	share    atomic.Uint64
}

// New returns a meter for a process that may use the given number of cores; requests returns how many requests it has handled since its start.
func New(timer kctport.Timer, cores float64, requests func() uint64) *Meter {
	return &Meter{timer: timer, cores: cores, requests: requests}
}

// Share returns the smoothed share in use for requests, 0 to 1, in steps of 0.1.
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
	last, lastUsed, lastRequests := m.timer.Now(), processTime(), m.requests()
	// idle is the smoothed share in use while there are no requests. On a small machine it is as much as that of some requests.
	smoothed, idle := 0.0, 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now, total, requests := m.timer.Now(), processTime(), m.requests()
		if elapsed := now.Sub(last); elapsed > 0 {
			used := float64(total-lastUsed) / float64(elapsed) / m.cores
			if requests == lastRequests {
				idle += smoothing * (used - idle)
				used = 0
			}
			smoothed += smoothing * (max(0, used-idle) - smoothed)
		}
		last, lastUsed, lastRequests = now, total, requests
		m.share.Store(math.Float64bits(min(1, math.Round(smoothed/shareStep)*shareStep)))
	}
}

// processTime returns the CPU time of the process since its start, or 0 when getrusage fails.
func processTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
