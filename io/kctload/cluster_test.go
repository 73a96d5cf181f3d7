package kctload

import (
	"io"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kcttimer"
)

// smallWorkload returns a workload whose deadlines hold on a busy machine too.
func smallWorkload() Workload {
	w := Smokehouses()
	w.Entries = 3
	w.Services = []Service{w.Services[0], w.Services[len(w.Services)-1]}
	w.Kinds = []Kind{
		{Name: "match", Services: serviceNames(w.Services), Route: "match", Urgent: 0.5, Deadline: 10 * time.Second, Rate: 40, Bodies: 8},
		{Name: "order", Services: []kctport.ServiceName{"records"}, Route: "order", Execute: true, Deadline: 10 * time.Second, Rate: 20},
	}
	return w
}

// Guards against a scenario run that passes its checks because no part ran, and against
// wrong answers and executions that run twice after an entry is killed during the load.
func TestScenarioOnCluster(t *testing.T) {
	c, err := StartCluster(t.Context(), smallWorkload(), 7, kcttimer.New(), StartEntry, VariantDefault)
	if err != nil {
		t.Fatal(err)
	}
	s := Scenario{Name: "killed", Steps: []Step{{500 * time.Millisecond, "one entry killed", killEntry}}}
	r, err := s.Run(t.Context(), c, time.Second, 2*time.Second, io.Discard)
	if err != nil {
		t.Error(err)
	}
	if !r.Clean() || r.All.Complete == 0 || r.PartsRun == 0 {
		t.Errorf("counts are %+v with %d parts run, want complete answers and no failures; evidence %v", r.All.Counts, r.PartsRun, r.Evidence)
	}
	if v, err := c.violations(t.Context()); err != nil || v > 0 {
		t.Errorf("entries counted %.0f invariant violations, error %v; want 0", v, err)
	}
	if err := c.Stop(t.Context()); err != nil {
		t.Error(err)
	}
}
