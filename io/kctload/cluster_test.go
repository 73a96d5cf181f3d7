package kctload

import (
	"io"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// small is a workload with deadlines far above what a busy machine needs.
func small() Workload {
	w := Smokehouses()
	w.Entries = 3
	w.Services = []Service{w.Services[0], w.Services[len(w.Services)-1]}
	w.Kinds = []Kind{
		{Name: "match", Services: names(w.Services), Route: "match", Urgent: 0.5, Deadline: 10 * time.Second, Rate: 40, Bodies: 8},
		{Name: "order", Services: []kctport.ServiceName{"records"}, Route: "order", Execute: true, Deadline: 10 * time.Second, Rate: 20},
	}
	return w
}

// Guards against a demo whose checks pass because nothing ran, and against entries that answer wrongly
// or run an execution twice when one of them is killed.
func TestScenarioOnCluster(t *testing.T) {
	c, err := StartCluster(t.Context(), small(), 7, kcttimer.New(), StartEntry, VariantDefault)
	if err != nil {
		t.Fatal(err)
	}
	s := Scenario{Name: "killed", Steps: []Step{{500 * time.Millisecond, "one entry killed", kill}}}
	r, err := s.Run(t.Context(), c, time.Second, 2*time.Second, io.Discard)
	if err != nil {
		t.Error(err)
	}
	if !r.Clean() || r.All.Complete == 0 || r.PartsRun == 0 {
		t.Errorf("counts %+v, %d parts run, evidence %v", r.All.Counts, r.PartsRun, r.Evidence)
	}
	if v, err := c.violations(t.Context()); err != nil || v > 0 {
		t.Errorf("%.0f invariant violations, %v", v, err)
	}
	if err := c.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}
