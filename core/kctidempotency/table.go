package kctidempotency

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
	// DefaultCapacity is the maximum number of used keys stored.
	DefaultCapacity = 1 << 18
	// stripes is the number of locks among which the keys are divided.
	stripes = 64
)

// Option configures a Table.
type Option func(*Table)

// WithCapacity sets the maximum number of used keys stored; while it is reached, unused keys are refused with ErrShed and ErrUnknown.
func WithCapacity(n int) Option {
	return func(t *Table) { t.capacity = int64(n) }
}

// Table issues the keys of one incarnation and stores the outcomes of their runs.
type Table struct {
	self        kctport.InstanceID
	incarnation kctport.Incarnation
	timer       kctport.Timer
	start       time.Time
	seed        maphash.Seed
	capacity    int64

	// number is the number of the last key issued, and used the number of used keys stored.
	number  atomic.Uint64
	used    atomic.Int64
	stripes [stripes]stripe
	running sync.WaitGroup
}

// stripe is a lock with the used keys that it guards.
type stripe struct {
	mu   sync.Mutex
	keys map[uint64]*usedKey
	// order lists the numbers of used keys by first use, for expiry.
	order []uint64
	// now is the latest time read; it never decreases, so that an expired and removed key stays expired.
	now time.Time
}

// NewTable returns a table for one process run; the incarnation must be one that was never used before.
func NewTable(self kctport.InstanceID, incarnation kctport.Incarnation, timer kctport.Timer, opts ...Option) *Table {
	t := &Table{
		self: self, incarnation: incarnation, timer: timer,
		start: timer.Now(), seed: maphash.MakeSeed(), capacity: DefaultCapacity,
	}
	for i := range t.stripes {
		t.stripes[i].keys = map[uint64]*usedKey{}
		t.stripes[i].now = t.start
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Issue returns new keys and their lifetime; an unused key takes no memory.
func (t *Table) Issue(count int) ([]string, time.Duration) {
	issuedAfter := max(0, t.timer.Now().Sub(t.start))
	keys := make([]string, max(0, count))
	for i := range keys {
		k := token{instance: t.self, incarnation: t.incarnation, number: t.number.Add(1), issuedAfter: issuedAfter}
		keys[i] = k.withTag(t.seed).String()
	}
	return keys, Lifetime
}

// Parse returns the issuer of a key; an error wraps ErrInvalid and ErrNotRun.
func (t *Table) Parse(key string) (kctport.InstanceID, kctport.Incarnation, error) {
	k, err := parse(key)
	return k.instance, k.incarnation, err
}

// Used returns the number of used keys stored.
func (t *Table) Used() int {
	return int(t.used.Load())
}

// Wait waits until no execution is in progress; call it after the last Run began.
func (t *Table) Wait() {
	t.running.Wait()
}

// Run executes a request at most once per key: it calls run unless the key was used, waits while a run is in progress, and returns the stored outcome afterwards.
// The end of ctx stops the wait and not the run, whose context ends at the execution's deadline.
func (t *Table) Run(ctx context.Context, execution kctport.Execution, run Runner) (kctport.Result, error) {
	k, err := t.verify(execution.Key)
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

// verify decodes a key and refuses those that this incarnation did not issue.
func (t *Table) verify(key string) (token, error) {
	k, err := parse(key)
	if err != nil {
		return k, err
	}
	if k.instance != t.self || k.incarnation != t.incarnation {
		return k, unknown("key was issued by another entry or before its restart")
	}
	if k.withTag(t.seed) != k {
		return k, invalid("key was not issued by this entry")
	}
	return k, nil
}

// errFull is returned for an unused key when the table is full. It wraps ErrUnknown and not ErrNotRun: the refusal cannot be stored, so a later send may run.
var errFull = eris.Wrap(errors.Join(kctport.ErrShed, kctport.ErrUnknown), "too many keys in use")
