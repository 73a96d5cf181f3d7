package kctonce

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// Lifetime is how long a key may be used after its issue.
	Lifetime = 10 * time.Minute
	// DefaultCapacity is the number of used keys remembered at most.
	DefaultCapacity = 1 << 18
	// stripes is the number of locks over which keys spread.
	stripes = 64
)

// Option changes a setting of a Table.
type Option func(*Table)

// WithCapacity sets the number of used keys remembered; beyond it unused keys are refused for the moment.
func WithCapacity(n int) Option {
	return func(t *Table) { t.capacity = int64(n) }
}

// Table issues the keys of one incarnation and remembers the outcomes of their use.
type Table struct {
	self        kctport.InstanceID
	incarnation kctport.Incarnation
	timer       kctport.Timer
	start       time.Time
	seed        maphash.Seed
	capacity    int64

	number  atomic.Uint64
	used    atomic.Int64
	stripes [stripes]stripe
	running sync.WaitGroup
}

// stripe holds the used keys of one lock.
type stripe struct {
	mu   sync.Mutex
	uses map[uint64]*use
	// order lists numbers by first use, for expiry.
	order []uint64
	// now never goes back, since a forgotten key must not become usable again.
	now time.Time
}

// NewTable returns a table for one process life; the incarnation must never have been used before.
func NewTable(self kctport.InstanceID, incarnation kctport.Incarnation, timer kctport.Timer, opts ...Option) *Table {
	t := &Table{
		self: self, incarnation: incarnation, timer: timer,
		start: timer.Now(), seed: maphash.MakeSeed(), capacity: DefaultCapacity,
	}
	for i := range t.stripes {
		t.stripes[i].uses = map[uint64]*use{}
		t.stripes[i].now = t.start
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Issue returns new keys and how long they may be used; an unused key takes no memory.
func (t *Table) Issue(count int) ([]string, time.Duration) {
	age := max(0, t.timer.Now().Sub(t.start))
	keys := make([]string, max(0, count))
	for i := range keys {
		k := token{instance: t.self, incarnation: t.incarnation, number: t.number.Add(1), age: age}
		keys[i] = k.sealed(t.seed).String()
	}
	return keys, Lifetime
}

// Parse returns the issuer of a key; an error wraps ErrInvalid and ErrNotRun.
func (t *Table) Parse(key string) (kctport.InstanceID, kctport.Incarnation, error) {
	k, err := parse(key)
	return k.instance, k.incarnation, err
}

// Used returns the number of keys remembered.
func (t *Table) Used() int {
	return int(t.used.Load())
}

// Wait returns when no execution is in progress; call it after the last Run began.
func (t *Table) Wait() {
	t.running.Wait()
}

// Run executes a request once per key: it starts the function unless the key was used, waits when it is in progress, and repeats the outcome when it ended. A context that ends stops the wait, not the run, whose context lasts until the execution's deadline.
func (t *Table) Run(ctx context.Context, execution kctport.Execution, run Runner) (kctport.Result, error) {
	k, err := t.check(execution.Key)
	if err != nil {
		return kctport.Result{}, err
	}
	o, first, err := t.claim(k, digest(execution))
	if err != nil {
		return kctport.Result{}, err
	}
	if first {
		go t.execute(context.WithoutCancel(ctx), execution, run, o)
	}
	return o.await(ctx)
}

// check tells a key of this incarnation from others.
func (t *Table) check(key string) (token, error) {
	k, err := parse(key)
	if err != nil {
		return k, err
	}
	if k.instance != t.self || k.incarnation != t.incarnation {
		return k, unknown("key was issued by another entry or before its restart")
	}
	if k.sealed(t.seed) != k {
		return k, invalid("key was not issued by this entry")
	}
	return k, nil
}

// errFull is returned for an unused key when the table remembers as many as it may; the refusal can't be remembered, so that a later send may run.
var errFull = eris.Wrap(errors.Join(kctport.ErrShed, kctport.ErrUnknown), "too many keys in use")
