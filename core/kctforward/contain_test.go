package kctforward_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctforward"
	"kingcupturn/core/kctsuspect"
	"kingcupturn/io/kcttimer"
)

// liveness is a Prober with the same answer for all endpoints.
type liveness kctport.Liveness

func (l liveness) Probe(context.Context, netip.AddrPort) kctport.Liveness { return kctport.Liveness(l) }

// startDetector returns a detector that runs until the end of the test.
func startDetector(t *testing.T, l kctport.Liveness) *kctsuspect.Detector {
	ctx, cancel := context.WithCancel(t.Context())
	d := kctsuspect.NewDetector(kctsuspect.NewMemory(kcttimer.New()), liveness(l))
	done := d.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// TestAttemptsWithoutAnAnswer guards against attempts that count as crashes of their endpoints although the endpoint lives, the entry in between failed, or
// nothing was sent, and against crashes that don't count.
func TestAttemptsWithoutAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		liveness kctport.Liveness
		crashes  uint64
	}{
		"the endpoint crashed":         {kctport.ErrReset, kctport.LivenessDown, 2},
		"the answer was lost":          {kctport.ErrReset, kctport.LivenessUp, 0},
		"the endpoint is unreachable":  {kctport.ErrReset, kctport.LivenessUnknown, 0},
		"the entry in between failed":  {errors.Join(kctport.ErrReset, kctport.ErrUnavailable), kctport.LivenessDown, 0},
		"nothing was sent":             {errors.Join(kctport.ErrNotRun, kctport.ErrUnavailable), kctport.LivenessDown, 0},
		"no answer in time":            {kctport.ErrTimeout, kctport.LivenessDown, 0},
		"bytes that are not an answer": {kctport.ErrMismatch, kctport.LivenessDown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := startDetector(t, c.liveness)
				e := &endpoints{answers: map[kctport.InstanceID][]answer{"s-1": {failing(c.err)}, "s-2": {failing(c.err)}}}
				forward(t, fleet(single(true), "s"), e, kctforward.WithSuspects(d))
				time.Sleep(time.Second)
				if got := d.DetectorCounts().Crashes; got != c.crashes {
					t.Errorf("%d crashes, want %d", got, c.crashes)
				}
			})
		})
	}
}

// TestQuarantinedRequest guards against a request that is passed on to services whose endpoints it crashes, and against an answer from the others that is not
// given.
func TestQuarantinedRequest(t *testing.T) {
	message := &kctport.Message{Method: "GET", Host: "h", Path: "/a/b"}
	for name, c := range map[string]struct {
		route   kctport.Route
		refused []kctport.ServiceName
		status  int
		missing int
	}{
		"one service":                       {single(true), []kctport.ServiceName{"s"}, 503, 0},
		"another service":                   {single(true), []kctport.ServiceName{"s2"}, 200, 0},
		"one shard of three":                {gather("s", "s2", "s3"), []kctport.ServiceName{"s2"}, 200, 1},
		"two shards of three are too many":  {gather("s", "s2", "s3"), []kctport.ServiceName{"s", "s3"}, 503, 0},
		"a shard that the route never asks": {gather("s", "s2", "s3"), []kctport.ServiceName{"s4"}, 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := startDetector(t, kctport.LivenessDown)
				for _, s := range c.refused {
					for i := range kctsuspect.CrashLimit {
						f := kctsuspect.HashRequest(message).At(s)
						d.RecordCrash(kctsuspect.Incarnation{Endpoint: kctport.InstanceID(fmt.Sprint(s, i)), Started: time.Now()}, time.Hour,
							[]kctsuspect.Involved{{Fingerprint: f, Sent: d.Mark(), Cut: d.Mark(), InFlight: time.Millisecond}})
					}
				}
				e := &endpoints{}
				reply, trace := forward(t, fleet(c.route, "s", "s2", "s3"), e, kctforward.WithSuspects(d))
				if reply.Status != c.status || reply.Missing != c.missing || (c.status == 503) != (reply.RetryAfter > 30*time.Second) {
					t.Errorf("status %d, %d missing, retry after %v; want %d, %d", reply.Status, reply.Missing, reply.RetryAfter, c.status, c.missing)
				}
				for _, id := range e.calls {
					if slices.ContainsFunc(c.refused, func(s kctport.ServiceName) bool { return strings.HasPrefix(string(id), string(s)+"-") }) {
						t.Errorf("endpoint %s got the request", id)
					}
				}
				if c.status == 503 && (len(e.calls) > 0 || len(trace.Events) != len(c.refused)) {
					t.Errorf("%d calls, events %v", len(e.calls), trace.Events)
				}
			})
		})
	}
}
