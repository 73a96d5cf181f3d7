package kctmember

import (
	"testing"
	"time"
)

// isolated counts the members from first up to last that are in touch with less than half of those they know.
func (s *sim) isolated(first, last int) int {
	const window = 4 * time.Second
	n := 0
	for i := first; i < last; i++ {
		if heard, known := s.tables[simID(i)].EstimateReachable(s.now, window); 2*heard < known {
			n++
		}
	}
	return n
}

// TestHeard guards against entries that take themselves for isolated in calm, or in a majority, or for connected when they reach nobody or a minority.
func TestHeard(t *testing.T) {
	for _, n := range []int{9, 50, 100} {
		s := newSim(n, 12)
		s.run(10 * time.Second)
		for range 10 {
			s.run(500 * time.Millisecond)
			if c := s.isolated(0, n); c > 0 {
				t.Errorf("%d members in calm: %d isolated", n, c)
			}
		}
		s.side[simID(0)] = 1
		s.run(5 * time.Second)
		if s.isolated(0, 1) != 1 {
			t.Errorf("%d members: one that reaches nobody is not isolated after 5 s", n)
		}
		for i := range n / 3 {
			s.side[simID(i)] = 1
		}
		for range 20 {
			s.run(time.Second)
			if c := s.isolated(n/3, n); c > 0 && n == 9 {
				t.Errorf("%d members: %d in the majority isolated", n, c)
			}
		}
		if c := s.isolated(0, n/3); c < n/3 {
			t.Errorf("%d members: %d of %d in the minority know it after 20 s", n, c, n/3)
		}
		if c := s.isolated(n/3, n); c > 0 {
			t.Errorf("%d members: %d in the majority isolated after 20 s", n, c)
		}
	}
}
