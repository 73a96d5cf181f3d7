package kctslope

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
)

// Guards against a model whose inputs do not reach control, so that an idle control is measured.
func TestModelProcessesInputs(t *testing.T) {
	synctest.Test(t, checkModelProcessesInputs)
}

func checkModelProcessesInputs(t *testing.T) {
	const members = 18
	c, err := newModel(t.Context(), members, endpointsFor(members), withStepWait(synctest.Wait))
	if err != nil {
		t.Fatal(err)
	}
	defer c.stop()
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		if err := c.stepWithEvents(t.Context(), random); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.replaceEndpoint(t.Context(), random); err != nil {
		t.Fatal(err)
	}
	usable := 0
	for r := range c.control.View().Replicas() {
		if r.Usable {
			usable++
		}
	}
	if v := c.control.View(); len(v.Members) != members || usable != endpointsFor(members) || c.peers.probes.Load() == 0 || c.peers.shares.Load() == 0 {
		t.Errorf("%d members, %d usable endpoints, %d probes, %d shares", len(v.Members), usable, c.peers.probes.Load(), c.peers.shares.Load())
	}
	if err := c.failMembers(t.Context(), func(n int) bool { return n == 5 }); err != nil {
		t.Fatal(err)
	}
	if n := len(c.control.View().Members); n != members-1 {
		t.Errorf("%d members after the failure of one", n)
	}
}

// Guards against a simulation in which changes do not propagate or the silent member is not detected.
func TestSimulation(t *testing.T) {
	m := &measurement{timer: newClock(), seed: 1}
	var series table
	if err := m.measureGossipSize(t.Context(), &series, 18); err != nil {
		t.Fatal(err)
	}
	for _, s := range series.series {
		if s.Points[0].Y <= 0 {
			t.Errorf("%s: %g", s.Y, s.Points[0].Y)
		}
	}
}
