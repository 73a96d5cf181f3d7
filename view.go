package kctport

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Health is the health of an endpoint as the entries that use it assess it.
type Health int

// The states of health of an endpoint.
const (
	HealthOK Health = iota
	HealthCold
	HealthEjected
	HealthDown
)

// Replica is an endpoint with its control state; it is immutable once published.
type Replica struct {
	Endpoint
	Status Status
	// Owner is the only entry that may send requests to the endpoint.
	Owner  InstanceID
	Health Health
	// HandoverEnd is the end of the period in which requests of a previous owner may still be in flight.
	HandoverEnd time.Time
	// Usable is false when no new requests may be sent to the endpoint; Reason is why, for operators.
	Usable bool
	Reason string
}

// Holding returns the replica's holding of a snapshot.
func (r *Replica) Holding(s Snapshot) (Holding, bool) {
	for _, h := range r.Status.Holdings {
		if h.Snapshot == s {
			return h, true
		}
	}
	return Holding{}, false
}

// ServiceView is one service in a view. Control builds a new one whenever its policy, replicas or move change.
type ServiceView struct {
	Name   ServiceName
	Policy Policy
	// Replicas are sorted by identifier.
	Replicas []*Replica
	// Move is the service's running or last move, nil without one.
	Move *Move
}

// View is an immutable snapshot of the control state, which control publishes to traffic.
type View struct {
	At time.Time
	// Expires bounds the use of the view, for example after a pause of the process: no new requests are sent under an expired view.
	Expires  time.Time
	Revision Revision
	// Defaults are the operators' default settings, used for what is not per service.
	Defaults Policy
	Self     Member
	Members  map[InstanceID]Member
	Services map[ServiceName]*ServiceView
	// ZoneShares is the fraction of its normal traffic that each zone may get: 0 when taken out, rising to 1 after its return.
	ZoneShares map[Zone]float64
	// Isolated is set when the entry has recent contact neither to the store nor to half of the members.
	Isolated bool
	// Draining is set while this entry shuts down.
	Draining bool
}

// Replica returns the replica of a service with an identifier, nil without one.
func (v *View) Replica(service ServiceName, id InstanceID) *Replica {
	s := v.Services[service]
	if s == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(s.Replicas, id, func(r *Replica, id InstanceID) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return nil
	}
	return s.Replicas[i]
}

// Replicas iterates over the replicas of all services in no particular order.
func (v *View) Replicas() iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for _, s := range v.Services {
			for _, r := range s.Replicas {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Fresh reports whether the view has not expired, so that new requests may be sent under it.
func (v *View) Fresh(now time.Time) bool {
	return now.Before(v.Expires)
}
