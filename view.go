package kctport

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Health says whether an endpoint gets work.
type Health int

// The health of an endpoint as its users see it.
const (
	HealthOK Health = iota
	HealthCold
	HealthEjected
	HealthDown
)

// Replica is an endpoint with what control knows of it; it is immutable once published.
type Replica struct {
	Endpoint
	Status Status
	// Owner is the entry that may send work to the endpoint.
	Owner  InstanceID
	Health Health
	// HandoverEnd is the end of the period in which a previous owner's work may still be in flight.
	HandoverEnd time.Time
	// Usable is false when no new work may go to the endpoint; Reason says why, for operators.
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

// ServiceView is one service in a view. Control makes a new one whenever its policy, replicas or move change.
type ServiceView struct {
	Name   ServiceName
	Policy Policy
	// Replicas are sorted by identifier.
	Replicas []*Replica
	// Move is the running or last move of the service, nil without one.
	Move *Move
}

// View is an immutable picture of control state for traffic.
type View struct {
	At time.Time
	// Expires fences traffic after a pause: no new work goes out under an expired view.
	Expires  time.Time
	Revision Revision
	// Defaults are the operators' defaults, for what is not per service.
	Defaults Policy
	Self     Member
	Members  map[InstanceID]Member
	Services map[ServiceName]*ServiceView
	// ZoneShares gives the share of its normal work that a zone may get: 0 when taken out, rising to 1 after its return.
	ZoneShares map[Zone]float64
	// Isolated is set when neither the store nor half of the members were heard.
	Isolated bool
	// Draining is set when this entry is shutting down.
	Draining bool
}

// Replica finds a replica of a service, nil without one.
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

// Replicas visits the replicas of all services in no particular order.
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

// Fresh reports whether new work may go out under the view.
func (v *View) Fresh(now time.Time) bool {
	return now.Before(v.Expires)
}
