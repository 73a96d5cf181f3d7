package kctfleet

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	kctport "kingcupturn"
)

const (
	// minActive is the minimum number of active entries in a zone: one may fail while another drains.
	minActive = 3
	// targetLoad is the average processor share of a zone's active entries, 0 to 1; it leaves capacity for a burst of 1.7 times and the loss of one entry.
	targetLoad = 0.3
	// shrinkFactor adds hysteresis: the active set shrinks only to the size that handles the load at shrinkFactor times targetLoad.
	shrinkFactor = 0.6
)

// activeSet chooses the entries that the directory names to callers. Fewer entries keep their connections to endpoints warm and detect slow
// endpoints sooner; with many, each would have less than one connection to an endpoint.
type activeSet struct {
	counts map[kctport.Zone]int
}

func newActiveSet() activeSet {
	return activeSet{counts: map[kctport.Zone]int{}}
}

// choose returns the active entries of all zones, sorted by identifier; each zone prefers its entries with the most cores.
func (a *activeSet) choose(entries []kctport.EntryRecord) []kctport.EntryRecord {
	zones := map[kctport.Zone][]kctport.EntryRecord{}
	for _, e := range entries {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	var active []kctport.EntryRecord
	for zone, list := range zones {
		slices.SortFunc(list, func(x, y kctport.EntryRecord) int {
			return cmp.Or(cmp.Compare(y.Cores, x.Cores), cmp.Compare(idHash(x.ID), idHash(y.ID)))
		})
		active = append(active, list[:a.count(zone, list)]...)
	}
	slices.SortFunc(active, func(x, y kctport.EntryRecord) int { return cmp.Compare(x.ID, y.ID) })
	return active
}

// count returns how many active entries a zone needs for the load that its entries report.
func (a *activeSet) count(zone kctport.Zone, list []kctport.EntryRecord) int {
	usedCores := 0.0
	for _, e := range list {
		usedCores += e.Load * e.Cores
	}
	needed := func(load float64) int {
		n, capacity := 0, 0.0
		for n < len(list) && (n < minActive || capacity < usedCores) {
			capacity += list[n].Cores * load
			n++
		}
		return n
	}
	// The set shrinks only when fewer entries would still be far below their target load.
	low, high := needed(targetLoad), needed(targetLoad*shrinkFactor)
	n := min(max(a.counts[zone], low), high)
	a.counts[zone] = n
	return n
}

// idHash orders entries of the same size, so that the active ones spread evenly over machines and restarts.
func idHash(id kctport.InstanceID) uint32 {
	h := fnv.New32a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32() % math.MaxInt32
}
