package kctcontrol

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// publisher passes views from the control goroutine to traffic.
type publisher struct {
	timer   kctport.Timer
	current atomic.Pointer[kctport.View]
	mu      sync.Mutex
	changed chan struct{}
}

func newPublisher(timer kctport.Timer, first *kctport.View) *publisher {
	p := &publisher{timer: timer, changed: make(chan struct{})}
	p.current.Store(first)
	return p
}

func (p *publisher) publish(v *kctport.View) {
	p.current.Store(v)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// View returns the last published view.
func (p *publisher) View() *kctport.View {
	return p.current.Load()
}

// Wait returns the view once it is fresh; it blocks while the view is expired, as after a pause of the process.
func (p *publisher) Wait(ctx context.Context) (*kctport.View, error) {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if v := p.current.Load(); v.Fresh(p.timer.Now()) {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(kctport.ErrNotRun, "no fresh view of the control state")
		case <-changed:
		}
	}
}
