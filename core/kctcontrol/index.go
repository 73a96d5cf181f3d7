package kctcontrol

import kctport "kingcupturn"

// endpointSet is a set of endpoints by identifier.
type endpointSet map[kctport.InstanceID]*endpointState

// endpointIndex groups endpoints by zone, owner and service, so that a change of one of these doesn't visit all endpoints.
type endpointIndex struct {
	all       endpointSet
	byZone    map[kctport.Zone]endpointSet
	byOwner   map[kctport.InstanceID]endpointSet
	byService map[kctport.ServiceName]endpointSet
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{
		all: make(endpointSet), byZone: make(map[kctport.Zone]endpointSet),
		byOwner: make(map[kctport.InstanceID]endpointSet), byService: make(map[kctport.ServiceName]endpointSet),
	}
}

func (x *endpointIndex) add(s *endpointState) {
	x.all[s.endpoint.ID] = s
	addTo(x.byZone, s.endpoint.Zone, s)
	addTo(x.byOwner, s.owner, s)
	addTo(x.byService, s.endpoint.Service, s)
}

func (x *endpointIndex) remove(s *endpointState) {
	delete(x.all, s.endpoint.ID)
	removeFrom(x.byZone, s.endpoint.Zone, s)
	removeFrom(x.byOwner, s.owner, s)
	removeFrom(x.byService, s.endpoint.Service, s)
}

func (x *endpointIndex) setOwner(s *endpointState, owner kctport.InstanceID) {
	removeFrom(x.byOwner, s.owner, s)
	s.owner = owner
	addTo(x.byOwner, s.owner, s)
}

func addTo[K comparable](m map[K]endpointSet, key K, s *endpointState) {
	if m[key] == nil {
		m[key] = make(endpointSet)
	}
	m[key][s.endpoint.ID] = s
}

func removeFrom[K comparable](m map[K]endpointSet, key K, s *endpointState) {
	delete(m[key], s.endpoint.ID)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}
