package kctcontrol

import kctport "kingcupturn"

// group is a set of endpoints by identifier.
type group map[kctport.InstanceID]*endpointState

// endpointIndex groups endpoints by zone, owner and service, so that a change of one of these doesn't visit all endpoints.
type endpointIndex struct {
	all       group
	byZone    map[kctport.Zone]group
	byOwner   map[kctport.InstanceID]group
	byService map[kctport.ServiceName]group
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{
		all: make(group), byZone: make(map[kctport.Zone]group),
		byOwner: make(map[kctport.InstanceID]group), byService: make(map[kctport.ServiceName]group),
	}
}

func (x *endpointIndex) add(s *endpointState) {
	x.all[s.endpoint.ID] = s
	put(x.byZone, s.endpoint.Zone, s)
	put(x.byOwner, s.owner, s)
	put(x.byService, s.endpoint.Service, s)
}

func (x *endpointIndex) remove(s *endpointState) {
	delete(x.all, s.endpoint.ID)
	drop(x.byZone, s.endpoint.Zone, s)
	drop(x.byOwner, s.owner, s)
	drop(x.byService, s.endpoint.Service, s)
}

func (x *endpointIndex) setOwner(s *endpointState, owner kctport.InstanceID) {
	drop(x.byOwner, s.owner, s)
	s.owner = owner
	put(x.byOwner, s.owner, s)
}

func put[K comparable](m map[K]group, key K, s *endpointState) {
	if m[key] == nil {
		m[key] = make(group)
	}
	m[key][s.endpoint.ID] = s
}

func drop[K comparable](m map[K]group, key K, s *endpointState) {
	delete(m[key], s.endpoint.ID)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}
