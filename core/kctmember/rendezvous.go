package kctmember

import (
	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// Rendezvous assigns each endpoint to the live member with the highest hash of the pair, in the endpoint's zone if that has a live member.
type Rendezvous struct{}

var _ kctport.Owners = Rendezvous{}

// Owner returns the owner of an endpoint, or an empty ID if no member is alive.
func (Rendezvous) Owner(endpoint kctport.Endpoint, members []kctport.Member) kctport.InstanceID {
	hash := xxhash.Sum64String(string(endpoint.ID))
	var sameZone, anyZone candidate
	for i := range members {
		m := &members[i]
		if !m.Alive() {
			continue
		}
		score := scoreHash(hash, m.ID)
		anyZone.consider(m.ID, score)
		if m.Zone == endpoint.Zone {
			sameZone.consider(m.ID, score)
		}
	}
	if sameZone.id != "" {
		return sameZone.id
	}
	return anyZone.id
}

// SelfOwner makes each entry the owner of all endpoints, for the baseline in which entries send directly.
type SelfOwner struct {
	Self kctport.InstanceID
}

var _ kctport.Owners = SelfOwner{}

// Owner returns the entry itself.
func (e SelfOwner) Owner(kctport.Endpoint, []kctport.Member) kctport.InstanceID { return e.Self }

// Score returns the rendezvous hash of a key and a member; the member with the highest score is chosen.
func Score(key string, id kctport.InstanceID) uint64 {
	return scoreHash(xxhash.Sum64String(key), id)
}

func scoreHash(hash uint64, id kctport.InstanceID) uint64 {
	return mix(hash ^ xxhash.Sum64String(string(id)))
}

// candidate is the member with the highest score so far.
type candidate struct {
	id    kctport.InstanceID
	score uint64
}

// consider keeps the higher score; of equal scores the smaller ID wins, so that all entries agree.
func (c *candidate) consider(id kctport.InstanceID, score uint64) {
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
