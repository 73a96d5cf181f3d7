package kctstop

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
)

// Part is what a stopping process waits for.
type Part struct {
	name string
	// wait returns false when the context ends first.
	wait func(ctx context.Context) bool
}

// On returns the part with a name whose end is an element of the channel or its closing.
func On[T any](name string, ended <-chan T) Part {
	return Part{name, func(ctx context.Context) bool {
		select {
		case <-ended:
			return true
		default:
		}
		select {
		case <-ended:
			return true
		case <-ctx.Done():
			return false
		}
	}}
}

// Await waits until all parts have ended or the context ends, and then logs the names of those that have not; the error wraps ErrTimeout.
func Await(ctx context.Context, parts ...Part) error {
	var left []string
	for _, p := range parts {
		if !p.wait(ctx) {
			left = append(left, p.name)
		}
	}
	if len(left) == 0 {
		return nil
	}
	klog.ErrorS(nil, "stop not completed in time", "waitedFor", strings.Join(left, ", "))
	return eris.Wrapf(kctport.ErrTimeout, "stopped without waiting for %s", strings.Join(left, ", "))
}

// After returns a context that ends a delay after another one has ended.
func After(ctx context.Context, timer kctport.Timer, delay time.Duration) (context.Context, context.CancelFunc) {
	later, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		select {
		case <-later.Done():
		case <-timer.After(later, delay):
			cancel()
		}
	})
	return later, cancel
}
