package kctstop_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctstop"
	"kingcupturn/io/kcttimer"
)

// TestPartThatNeverEnds guards against a stop that lasts until the process is killed, and against one that doesn't say what it waited for.
func TestPartThatNeverEnds(t *testing.T) {
	closed, full := make(chan struct{}), make(chan error, 1)
	close(closed)
	for name, c := range map[string]struct {
		stuck []string
		// ends is when the part "late" ends after the request to stop.
		ends, took time.Duration
	}{
		"all end":           {nil, time.Second, time.Second},
		"one never ends":    {[]string{"relay"}, time.Second, 5 * time.Second},
		"two never end":     {[]string{"relay", "feeds"}, time.Second, 5 * time.Second},
		"one ends too late": {nil, time.Minute, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full <- nil
				running, stop := context.WithCancel(t.Context())
				limit, release := kctstop.After(running, kcttimer.New(), 5*time.Second)
				defer release()
				time.Sleep(time.Hour)
				if limit.Err() != nil {
					t.Fatal("the limit has passed before the request to stop")
				}
				late := make(chan struct{})
				parts := []kctstop.Part{kctstop.On("closed", closed)}
				for _, s := range c.stuck {
					parts = append(parts, kctstop.On(s, make(chan struct{})))
				}
				parts = append(parts, kctstop.On("full", full), kctstop.On("late", late))
				stop()
				began := time.Now()
				time.AfterFunc(c.ends, func() { close(late) })
				err := kctstop.Await(limit, parts...)
				want := strings.Join(c.stuck, ", ")
				if c.ends > c.took {
					want = "late"
				}
				if took := time.Since(began); took != c.took || (want == "") != (err == nil) {
					t.Errorf("after %v error %v, want %v and %q", took, err, c.took, want)
				}
				if err != nil && (!errors.Is(err, kctport.ErrTimeout) || !strings.Contains(err.Error(), "for "+want+":")) {
					t.Errorf("error %q, want one that names %q", err, want)
				}
				// The parts that end late must not outlive the test.
				time.Sleep(c.ends)
			})
		})
	}
}
