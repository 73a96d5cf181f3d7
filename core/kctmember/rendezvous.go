package kctmember

import (
	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// Rendezvous assigns each endpoint to the live member with the highest hash of the pair, in the endpoint's zone if that has a live member.
type Rendezvous struct{}

var _ kctport.Owners = Rendezvous{}

// Owner returns the owner of an endpoint, or an empty name when no member is alive.
func (Rendezvous) Owner(endpoint kctport.Endpoint, members []kctport.Member) kctport.InstanceID {
	hash := xxhash.Sum64String(string(endpoint.ID))
	var near, far choice
	for i := range members {
		m := &members[i]
		if !m.Alive() {
			continue
		}
		score := weigh(hash, m.ID)
		far.offer(m.ID, score)
		if m.Zone == endpoint.Zone {
			near.offer(m.ID, score)
		}
	}
	if near.id != "" {
		return near.id
	}
	return far.id
}

// SelfOwner makes each entry the owner of all endpoints: the baseline in which entries send directly.
type SelfOwner struct {
	Self kctport.InstanceID
}

var _ kctport.Owners = SelfOwner{}

// Owner returns the entry itself.
func (e SelfOwner) Owner(kctport.Endpoint, []kctport.Member) kctport.InstanceID { return e.Self }

// Score weighs a member for a key; the member with the highest score is chosen.
func Score(key string, id kctport.InstanceID) uint64 {
	return weigh(xxhash.Sum64String(key), id)
}

func weigh(hash uint64, id kctport.InstanceID) uint64 {
	return mix(hash ^ xxhash.Sum64String(string(id)))
}

// choice is the best candidate so far.
type choice struct {
	id    kctport.InstanceID
	score uint64
}

// offer keeps the higher score; equal scores go to the smaller name so that all entries agree.
func (c *choice) offer(id kctport.InstanceID, score uint64) {
	if c.id == "" || score > c.score || score == c.score && id < c.id {
		c.id, c.score = id, score
	}
}

// mix is the finalizer of SplitMix64; without it the scores of two members would differ by the same bits for every endpoint.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
