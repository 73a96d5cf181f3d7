package kctlimit_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	kctport "kingcupturn"
)

const (
	workMean = 6 * time.Millisecond
	// coldWork requests make a cold server warm; until then it runs one at a time, four times slower, and queues coldQueue.
	coldWork  = 100
	coldQueue = 4
)

// endpoint is an endpoint that sheds above its true capacity.
type endpoint struct {
	rand  *rand.Rand
	slots int
	fixed time.Duration // service time, 0 for random ones
	slow  float64       // factor of the service time, 0 for 1

	mu      sync.Mutex
	coldLeft    int // requests until it is warm
	running int
	busyUntil    time.Time // when a cold server has done all it was given
	excess  int       // requests that came while a cold server was busy
	sheds   int
	firstSymptom   time.Time // firstSymptom slow or shed reply since the last cold start
}

func (s *endpoint) makeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLeft, s.excess, s.firstSymptom, s.busyUntil = coldWork, 0, time.Time{}, time.Time{}
}

// call serves one request; a cancelled one keeps its slot at the server until it would have ended.
func (s *endpoint) call(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	done, ok := s.begin(start)
	if !ok {
		return 0, errors.Join(kctport.ErrShed, kctport.ErrNotRun)
	}
	select {
	case <-done:
		return time.Since(start), nil
	case <-ctx.Done():
		return time.Since(start), ctx.Err()
	}
}

func (s *endpoint) begin(now time.Time) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, d := s.slots, s.fixed
	if d == 0 {
		d = workMean/3 + time.Duration(s.rand.ExpFloat64()*float64(workMean*2/3))
	}
	d = time.Duration(float64(d) * max(s.slow, 1))
	if s.coldLeft > 0 {
		if s.running >= 1 {
			s.excess++
		}
		most = 1 + coldQueue
	}
	if s.running >= most {
		s.sheds++
		s.noteSymptom()
		return nil, false
	}
	if s.coldLeft > 0 {
		if s.busyUntil.Before(now) {
			s.busyUntil = now
		}
		s.busyUntil = s.busyUntil.Add(4 * d)
		d = s.busyUntil.Sub(now)
	}
	s.running++
	done := make(chan struct{})
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if s.coldLeft > 0 {
			s.coldLeft--
			s.noteSymptom()
		}
		close(done)
	})
	return done, true
}

func (s *endpoint) noteSymptom() {
	if s.firstSymptom.IsZero() {
		s.firstSymptom = time.Now()
	}
}

// drive sends requests at random intervals of the mean for the duration.
func drive(g kctport.Gate, s *endpoint, every, total time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(total); time.Now().Before(end); {
		s.mu.Lock()
		pause := time.Duration(s.rand.ExpFloat64() * float64(every))
		s.mu.Unlock()
		time.Sleep(pause)
		wg.Go(func() {
			p, err := g.Acquire(context.Background(), kctport.PartCall{Deadline: time.Now().Add(100 * time.Millisecond)})
			if err == nil {
				p.Done(s.call(context.Background()))
			}
		})
	}
	wg.Wait()
}
