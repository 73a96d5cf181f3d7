package kctsuspect

import (
	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// stripes is the number of locks among which the endpoints are divided.
const stripes = 64

// List holds an entry's suspects and the attempts in flight at the endpoints that it owns.
type List struct {
	*Memory
	stripes [stripes]stripe
}

// NewList returns a list without suspects.
func NewList(timer kctport.Timer, opts ...MemoryOption) *List {
	l := &List{Memory: NewMemory(timer, opts...)}
	for i := range l.stripes {
		l.stripes[i].endpoints = map[kctport.InstanceID]*endpointState{}
	}
	return l
}

// Suspected reports whether a body is suspect; a suspect body is tried on one endpoint first.
func (l *List) Suspected(fingerprint kctport.Fingerprint) bool {
	return l.Crashes(fingerprint) > 0
}

// stripe returns the stripe that guards an endpoint.
func (l *List) stripe(endpoint kctport.InstanceID) *stripe {
	return &l.stripes[xxhash.Sum64String(string(endpoint))%stripes]
}
