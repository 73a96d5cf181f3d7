package kctmetric

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	kctport "kingcupturn"
)

type fixedViews struct{ v *kctport.View }

func (f fixedViews) View() *kctport.View                         { return f.v }
func (f fixedViews) Wait(context.Context) (*kctport.View, error) { return f.v, nil }

// Guards against a metric that is registered but not fed, and against duplicate registrations.
func TestExposition(t *testing.T) {
	view := &kctport.View{
		Revision: 7,
		Members:  map[kctport.InstanceID]kctport.Member{"a": {}, "b": {State: kctport.MemberDead}},
		Services: map[kctport.ServiceName]*kctport.ServiceView{"s": {
			Policy:   kctport.Policy{Objective: 100 * time.Millisecond, ObjectiveShare: 0.99},
			Replicas: []*kctport.Replica{{Health: kctport.HealthCold, Usable: true}},
		}},
	}
	m := New()
	m.RegisterView(fixedViews{view})
	for c := AttemptsFirst; c <= DroppedBatches; c++ {
		m.RegisterCounter(c, func() uint64 { return 3 })
	}
	whole := kctport.Coverage{Answered: 2, Total: 2}
	ok := Request{Services: []kctport.ServiceName{"s"}, Route: "r", Kind: KindUrgent, Coverage: whole, Latency: 90 * time.Millisecond, Deadline: time.Second}
	m.Record(view, ok)
	ok.Latency = 2 * time.Second
	m.Record(view, ok)
	m.Record(view, Request{Services: ok.Services, Kind: KindExecution, Err: kctport.ErrNotRun})
	m.Violation("one snapshot", "")
	m.Shed("s")
	m.ObserveControlLoop(time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`kingcupturn_requests_total{kind="urgent",outcome="whole",route="r",service="s"} 2`,
		`kingcupturn_objective_total{kind="urgent",result="met",service="s"} 1`,
		`kingcupturn_objective_total{kind="urgent",result="missed",service="s"} 1`,
		`kingcupturn_urgent_total{result="ontime"} 1`,
		`kingcupturn_refusals_total{ran="no"} 1`,
		`kingcupturn_attempts_total{kind="hedge"} 3`,
		`kingcupturn_control_bytes_total{direction="out"} 3`,
		`kingcupturn_members 1`,
		`kingcupturn_config_revision 7`,
		`kingcupturn_endpoints{health="cold"} 1`,
		`kingcupturn_violations_total{invariant="one snapshot"} 1`,
		`process_open_fds`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in the exposition", want)
		}
	}
}
