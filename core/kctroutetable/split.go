package kctroutetable

import (
	"sync"

	kctport "kingcupturn"
)

// Splitter distributes the requests of a route among its targets by smooth weighted round robin,
// which keeps the shares over short periods as well as long ones; it is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// routes holds the current weight of each target by the name of the route.
	routes map[string]map[kctport.ServiceName]float64
}

// NewSplitter returns a splitter that starts with the first target of the largest weight.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]map[kctport.ServiceName]float64{}}
}

// Next returns the service for the route's next request.
func (s *Splitter) Next(r *kctport.Route) kctport.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.routes[r.Name]
	if current == nil {
		current = map[kctport.ServiceName]float64{}
		s.routes[r.Name] = current
	}
	total := 0.0
	best := r.Targets[0].Service
	for i, t := range r.Targets {
		current[t.Service] += t.Weight
		total += t.Weight
		if i == 0 || current[t.Service] > current[best] {
			best = t.Service
		}
	}
	current[best] -= total
	return best
}

// Prune drops the weights of routes that are no longer in the rules or no longer have several targets.
func (s *Splitter) Prune(rules *kctport.Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]map[kctport.ServiceName]float64{}
	for _, r := range rules.Routes {
		if c := s.routes[r.Name]; c != nil && len(r.Targets) > 1 {
			kept[r.Name] = c
		}
	}
	s.routes = kept
}
