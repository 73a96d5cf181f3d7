package kctidempotency

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// Runner performs an execution; an error that wraps ErrNotRun and not ErrUnknown means that nothing ran.
type Runner func(context.Context, kctport.Execution) (kctport.Result, error)

// usedKey is a key after its first use, with the digest of its request and its only run.
type usedKey struct {
	digest  uint64
	outcome *outcome
	expires time.Time
}

// outcome is the outcome of a run; result and err are set when done closes.
type outcome struct {
	done   chan struct{}
	result kctport.Result
	err    error
}

// await waits for the run to end; when ctx ends first, the error wraps ErrUnknown.
func (o *outcome) await(ctx context.Context) (kctport.Result, error) {
	select {
	case <-o.done:
		return o.result, o.err
	case <-ctx.Done():
		return kctport.Result{}, eris.Wrap(errors.Join(kctport.ErrUnknown, ctx.Err()), "gave up waiting for the execution")
	}
}

// notRun reports whether an error proves that the request did not run.
func notRun(err error) bool {
	return errors.Is(err, kctport.ErrNotRun) && !errors.Is(err, kctport.ErrUnknown)
}

// claim returns the outcome to wait for; first is set for the one call that has to run the request.
func (t *Table) claim(k token, digest uint64) (o *outcome, first bool, err error) {
	s := &t.stripes[k.number%stripes]
	s.mu.Lock()
	defer s.mu.Unlock()
	// The time is read under the lock: a goroutine that was paused after reading it could otherwise run a key that was removed meanwhile.
	if now := t.timer.Now(); now.After(s.now) {
		s.now = now
	}
	t.used.Add(-int64(s.removeExpired()))
	expires := t.start.Add(k.issuedAfter + Lifetime)
	if !s.now.Before(expires) {
		return nil, false, unknown("key is older than its lifetime")
	}
	u, ok := s.keys[k.number]
	switch {
	case ok && u.digest != digest:
		return nil, false, invalid("key was used with another request")
	case ok:
		// A refusal is final too: another send of the request may still arrive through a slow entry, and would run after the caller received ErrNotRun.
		return u.outcome, false, nil
	case t.used.Load() >= t.capacity:
		return nil, false, errFull
	}
	u = &usedKey{digest: digest, expires: expires, outcome: &outcome{done: make(chan struct{})}}
	s.keys[k.number] = u
	s.order = append(s.order, k.number)
	t.used.Add(1)
	t.running.Add(1)
	return u.outcome, true, nil
}

// removeExpired removes expired keys in the order of first use and returns their number.
func (s *stripe) removeExpired() int {
	n := 0
	for n < len(s.order) && !s.now.Before(s.keys[s.order[n]].expires) {
		delete(s.keys, s.order[n])
		n++
	}
	s.order = s.order[n:]
	return n
}

// execute runs an execution and sets the outcome: ErrUnknown unless run returns a result or an error for which notRun holds.
func (t *Table) execute(ctx context.Context, execution kctport.Execution, run Runner, o *outcome) {
	defer t.running.Done()
	defer close(o.done)
	if !execution.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, execution.Deadline.Sub(t.timer.Now()))
		defer cancel()
	}
	o.err = unknown("execution ended without an outcome")
	result, err := run(ctx, execution)
	switch {
	case err == nil:
		o.result, o.err = result, nil
	case notRun(err) || errors.Is(err, kctport.ErrUnknown):
		o.err = err
	default:
		o.err = eris.Wrap(errors.Join(kctport.ErrUnknown, err), "execution failed after it may have run")
	}
}

// digest returns a hash of the service, route and body, which binds a key to one request.
func digest(e kctport.Execution) uint64 {
	d := xxhash.New()
	for _, field := range []string{string(e.Service), e.Route} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(e.Body)
	return d.Sum64()
}
