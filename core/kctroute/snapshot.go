package kctroute

import (
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// SelectSnapshot is Index.Select with a new Index.
func SelectSnapshot(view *kctport.View, services []kctport.ServiceName) (kctport.Snapshot, map[kctport.ServiceName]int, error) {
	return NewIndex().Select(view, services)
}

// Select returns the newest snapshot for which every part of the services has a usable endpoint, with the shard count of
// each service in it. Without a complete snapshot it returns the one with the best coverage, so that the answer can list the
// missing parts. An error wraps ErrNoSnapshot.
func (x *Index) Select(view *kctport.View, services []kctport.ServiceName) (kctport.Snapshot, map[kctport.ServiceName]int, error) {
	common := make(map[kctport.Snapshot]tally)
	for i, name := range services {
		s := x.serviceIndex(view, name)
		if s == nil {
			return 0, nil, eris.Wrapf(kctport.ErrNoSnapshot, "service %q has no endpoint", name)
		}
		for n, l := range s.layouts {
			if t := common[n]; t.services == i {
				common[n] = tally{services: i + 1, covered: t.covered + l.covered, shards: t.shards + l.shards}
			}
		}
	}
	best, ok := bestSnapshot(common, len(services))
	if !ok {
		return 0, nil, eris.Wrapf(kctport.ErrNoSnapshot, "services %v", services)
	}
	shards := make(map[kctport.ServiceName]int, len(services))
	for _, name := range services {
		shards[name] = x.serviceIndex(view, name).layouts[best].shards
	}
	return best, shards, nil
}

// tally is the sum of the parts of one snapshot over services.
type tally struct {
	services, covered, shards int
}

// bestSnapshot returns the snapshot with the highest coverage, the newer one of equals, or false when none is covered.
func bestSnapshot(common map[kctport.Snapshot]tally, services int) (kctport.Snapshot, bool) {
	var best kctport.Snapshot
	var bestTally tally
	found := false
	for s, t := range common {
		if t.services != services || t.covered == 0 {
			continue
		}
		// Shares of coverage are compared by cross multiplication to stay exact.
		a, b := t.covered*bestTally.shards, bestTally.covered*t.shards
		if !found || a > b || a == b && s > best {
			best, bestTally, found = s, t, true
		}
	}
	return best, found
}
