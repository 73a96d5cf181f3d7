package kctfleet

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	kctport "kingcupturn"
)

const (
	// minActive is the number of entries that each zone's callers share at least: one may die and another drain.
	minActive = 3
	// activeLoad is the processor share that the active entries of a zone should use on average, which leaves room for a burst of 1.7 and for the loss of one.
	activeLoad = 0.3
	// activeSlack keeps the number until the load has fallen well below what fewer entries would bear.
	activeSlack = 0.6
)

// activeSet chooses the entries that callers are sent to. Fewer entries keep warm connections to endpoints and learn faster which of them are slow;
// with many, each would have less than one connection to an endpoint.
type activeSet struct {
	counts map[kctport.Zone]int
}

func newActiveSet() activeSet {
	return activeSet{counts: map[kctport.Zone]int{}}
}

// choose returns the active entries of all zones, the largest ones first in each.
func (a *activeSet) choose(entries []kctport.EntryRecord) []kctport.EntryRecord {
	zones := map[kctport.Zone][]kctport.EntryRecord{}
	for _, e := range entries {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	var active []kctport.EntryRecord
	for zone, list := range zones {
		slices.SortFunc(list, func(x, y kctport.EntryRecord) int {
			return cmp.Or(cmp.Compare(y.Cores, x.Cores), cmp.Compare(order(x.ID), order(y.ID)))
		})
		active = append(active, list[:a.count(zone, list)]...)
	}
	slices.SortFunc(active, func(x, y kctport.EntryRecord) int { return cmp.Compare(x.ID, y.ID) })
	return active
}

// count returns how many entries of a zone are needed for the load that they report.
func (a *activeSet) count(zone kctport.Zone, list []kctport.EntryRecord) int {
	used := 0.0
	for _, e := range list {
		used += e.Load * e.Cores
	}
	needed := func(load float64) int {
		n, room := 0, 0.0
		for n < len(list) && (n < minActive || room < used) {
			room += list[n].Cores * load
			n++
		}
		return n
	}
	// Fewer are used only when they would still be far from their share.
	low, high := needed(activeLoad), needed(activeLoad*activeSlack)
	n := min(max(a.counts[zone], low), high)
	a.counts[zone] = n
	return n
}

// order spreads entries of the same size evenly over machines and restarts.
func order(id kctport.InstanceID) uint32 {
	h := fnv.New32a()
	// Writing to a hash doesn't fail.
	_, _ = h.Write([]byte(id))
	return h.Sum32() % math.MaxInt32
}
