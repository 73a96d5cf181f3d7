package kctsend_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	kctport "kingcupturn"
	"kingcupturn/core/kctcheck"
	"kingcupturn/core/kctlimit"
	"kingcupturn/core/kctsend"
	"kingcupturn/io/kcttimer"
)

var _ kctport.Sender = (*kctsend.Sender)(nil)

// callCounter is a Backend, Peers and Observer that counts calls, relays and observations.
type callCounter struct {
	kctport.Backend
	kctport.Peers
	calls, relays, observed int
	wrong                   bool
	relayed                 time.Time
}

func (w *callCounter) Call(_ context.Context, _ kctport.Endpoint, call kctport.PartCall) (kctport.PartReply, error) {
	w.calls++
	if w.wrong {
		call.Request += "x"
	}
	return kctport.PartReply{Request: call.Request, Part: call.Part, Shards: call.Shards, Snapshot: call.Snapshot}, nil
}

func (w *callCounter) Relay(ctx context.Context, _ kctport.Member, call kctport.PartCall) (kctport.PartReply, error) {
	w.relays++
	w.relayed = call.Deadline
	return w.Call(ctx, kctport.Endpoint{}, call)
}

func (w *callCounter) Observe(kctport.Observation) { w.observed++ }

// suspects quarantines every body.
type suspects struct{}

func (suspects) Admit(kctport.InstanceID, kctport.Fingerprint) error {
	return errors.Join(kctport.ErrQuarantined, kctport.ErrNotRun)
}
func (suspects) Finish(kctport.InstanceID, kctport.Fingerprint, error) {}

// TestSend guards against requests sent under an expired view, by an entry that is not the owner, or with a quarantined
// body, and against the reply to another request being returned.
func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		owner  kctport.InstanceID
		age    time.Duration
		late   bool
		wrong  bool
		handle bool
		opts   []kctsend.Option
		want   error
		notRun bool
		calls  int
		relays int
	}{
		{name: "owned", owner: "e", calls: 1},
		{name: "relayed", owner: "f", calls: 1, relays: 1},
		{name: "handled", owner: "e", handle: true, calls: 1},
		{name: "handled but not owned", owner: "f", handle: true, want: kctport.ErrNotOwner, notRun: true},
		{name: "expired view", owner: "e", age: time.Second, want: kctport.ErrUnavailable, notRun: true},
		{name: "expired view of relay", owner: "f", age: time.Second, want: kctport.ErrUnavailable, notRun: true},
		{name: "refused by the gate", owner: "e", late: true, want: kctport.ErrShed, notRun: true},
		{name: "owner not a member", owner: "g", want: kctport.ErrUnavailable, notRun: true},
		{name: "quarantined", owner: "e", want: kctport.ErrQuarantined, notRun: true, opts: []kctsend.Option{kctsend.WithSuspects(suspects{})}},
		{name: "wrong reply", owner: "e", wrong: true, want: kctport.ErrMismatch, calls: 1},
		{name: "wrong relayed reply", owner: "f", wrong: true, want: kctport.ErrMismatch, calls: 1, relays: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &callCounter{wrong: tt.wrong}
				sender := kctsend.New("e", kcttimer.New(), w, w, kctlimit.NewGates(kcttimer.New()), w, kctcheck.New(nil, kctcheck.Panic()), tt.opts...)
				r := &kctport.Replica{Endpoint: kctport.Endpoint{ID: "1"}, Owner: tt.owner, Status: kctport.Status{Slots: 1}}
				v := &kctport.View{
					Expires:  time.Now().Add(time.Second - tt.age),
					Members:  map[kctport.InstanceID]kctport.Member{"f": {ID: "f"}},
					Services: map[kctport.ServiceName]*kctport.ServiceView{"s": {Name: "s", Replicas: []*kctport.Replica{r}}},
				}
				call := kctport.PartCall{Request: "r", Endpoint: "1", Part: kctport.Part{Service: "s"}, Shards: 1, Snapshot: 1, Deadline: time.Now().Add(time.Second)}
				if tt.late {
					call.Deadline = time.Now()
				}
				send := sender.Send
				if tt.handle {
					send = sender.Handle
				}
				_, err := send(t.Context(), v, call)
				if !errors.Is(err, tt.want) || errors.Is(err, kctport.ErrNotRun) != tt.notRun {
					t.Errorf("error %v, want %v, not run %t", err, tt.want, tt.notRun)
				}
				if w.calls != tt.calls || w.relays != tt.relays || w.observed != tt.calls {
					t.Errorf("%d calls, %d relays, %d observations, want %d, %d, %d", w.calls, w.relays, w.observed, tt.calls, tt.relays, tt.calls)
				}
				if w.relays > 0 && !w.relayed.Before(call.Deadline) {
					t.Error("the relayed deadline leaves no time for the reply from the owner")
				}
				if sender.InFlight("1") != 0 {
					t.Error("an attempt is counted as in flight after the call ended")
				}
			})
		})
	}
}
