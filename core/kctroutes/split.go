package kctroutes

import (
	"sync"

	kctport "kingcupturn"
)

// Splitter deals the requests of a route to its targets by smooth weighted round robin,
// so that short spans keep the shares as well as long ones.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]map[kctport.ServiceName]float64
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]map[kctport.ServiceName]float64{}}
}

// Next returns the service of the route's next request.
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

// Prune drops the history of routes that the rules no longer name.
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
