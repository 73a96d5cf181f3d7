package kctcheck_test

import (
	"sync"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/core/kctcheck"
)

var _ kctport.Checker = (*kctcheck.Checker)(nil)

// TestCounts guards against violations that are not counted when several goroutines check at once, and against counting checks that pass.
func TestCounts(t *testing.T) {
	var mu sync.Mutex
	reported := 0
	c := kctcheck.New(func(string, string) {
		mu.Lock()
		defer mu.Unlock()
		reported++
	})
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { c.Check(i%2 == 0, "even", "odd number") })
	}
	wg.Wait()
	if c.Counts()["even"] != 50 || reported != 50 {
		t.Errorf("counts %v, reported %d, want 50 each", c.Counts(), reported)
	}
}

// TestPanic guards against test runs that pass although an invariant was violated.
func TestPanic(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic on a violation")
		}
	}()
	kctcheck.New(nil, kctcheck.Panic()).Check(false, "invariant", "evidence")
}
