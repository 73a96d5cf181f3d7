package kctmember

import (
	"testing"
	"time"
)

// isolated counts the members from first up to last (exclusive) whose estimate is below half of their known members.
func (s *sim) isolated(first, last int) int {
	const window = 4 * time.Second
	n := 0
	for i := first; i < last; i++ {
		if reachable, known := s.tables[simID(i)].EstimateReachable(s.now, window); 2*reachable < known {
			n++
		}
	}
	return n
}

// TestEstimateReachable guards against entries found isolated without a fault or in the majority of a partition, and against entries found connected
// when they reach no other member or only a minority.
func TestEstimateReachable(t *testing.T) {
	for _, n := range []int{9, 50, 100} {
		s := newSim(n, 12)
		s.run(10 * time.Second)
		for range 10 {
			s.run(500 * time.Millisecond)
			if c := s.isolated(0, n); c > 0 {
				t.Errorf("%d members without a fault: %d isolated", n, c)
			}
		}
		s.partition[simID(0)] = 1
		s.run(5 * time.Second)
		if s.isolated(0, 1) != 1 {
			t.Errorf("%d members: one that reaches no other is not isolated after 5 s", n)
		}
		for i := range n / 3 {
			s.partition[simID(i)] = 1
		}
		for range 20 {
			s.run(time.Second)
			if c := s.isolated(n/3, n); c > 0 && n == 9 {
				t.Errorf("%d members: %d in the majority isolated", n, c)
			}
		}
		if c := s.isolated(0, n/3); c < n/3 {
			t.Errorf("%d members: %d of %d in the minority isolated after 20 s", n, c, n/3)
		}
		if c := s.isolated(n/3, n); c > 0 {
			t.Errorf("%d members: %d in the majority isolated after 20 s", n, c)
		}
	}
}
