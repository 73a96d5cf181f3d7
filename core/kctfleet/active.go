package kctfleet

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	kctport "kingcupturn"
)

const (
	// minActive is the minimum number of active entries in a region: one may fail while another drains.
	minActive = 3
	// targetLoad is the average processor share of the active entries, 0 to 1; it leaves capacity for a burst of 1.7 times and the loss of one entry.
	targetLoad = 0.3
	// shrinkFactor adds hysteresis: the active set shrinks only to the size that handles the load at shrinkFactor times targetLoad.
	shrinkFactor = 0.6
	// demandHalfLife is how fast a load that is no longer reported is forgotten: the callers of an entry that has ended go on to others, some after
	// three times the time for which they cache the directory's answer.
	demandHalfLife = 3 * time.Second
	// hostingShare is the part of the services of the zone with most of them from which a zone counts as one that hosts endpoints.
	hostingShare = 0.5
)

// activeSet chooses the entries that the directory names to callers. Fewer entries keep their connections to endpoints warm and detect slow
// endpoints sooner; with many, each would have less than one connection to an endpoint.
type activeSet struct {
	// regions names the region of each zone; zones without one form a region together.
	regions map[kctport.Zone]kctport.Region
	sets    map[kctport.Region]*regionSet
}

// regionSet is the number of active entries of a region and the load from which it follows.
type regionSet struct {
	count int
	// demand is the processor time that callers' requests take, in cores; at is when it was last updated.
	demand float64
	at     time.Time
}

func newActiveSet(regions map[kctport.Zone]kctport.Region) activeSet {
	return activeSet{regions: regions, sets: map[kctport.Region]*regionSet{}}
}

// choose returns the active entries of all regions, sorted by identifier. A region prefers its entries with the most cores, then those of zones that
// host endpoints, whose attempts need not cross zones, and takes them from these zones in turn, so that the loss of a zone leaves some.
func (a *activeSet) choose(now time.Time, entries []kctport.EntryRecord, endpoints map[kctport.ServiceName][]*kctport.FleetEndpoint) []kctport.EntryRecord {
	hosting := a.hostingZones(endpoints)
	regions := map[kctport.Region][]kctport.EntryRecord{}
	for _, e := range entries {
		regions[a.regions[e.Zone]] = append(regions[a.regions[e.Zone]], e)
	}
	var active []kctport.EntryRecord
	for region, list := range regions {
		s := a.sets[region]
		if s == nil {
			s = &regionSet{at: now}
			a.sets[region] = s
		}
		ordered := inOrder(list, hosting)
		active = append(active, ordered[:s.size(now, ordered)]...)
	}
	slices.SortFunc(active, func(x, y kctport.EntryRecord) int { return cmp.Compare(x.ID, y.ID) })
	return active
}

// hostingZones returns the zones that host endpoints of many of the services of their region.
func (a *activeSet) hostingZones(endpoints map[kctport.ServiceName][]*kctport.FleetEndpoint) map[kctport.Zone]bool {
	services := map[kctport.Zone]int{}
	for _, list := range endpoints {
		for i, e := range list {
			if !slices.ContainsFunc(list[:i], func(other *kctport.FleetEndpoint) bool { return other.Zone == e.Zone }) {
				services[e.Zone]++
			}
		}
	}
	most := map[kctport.Region]int{}
	for zone, n := range services {
		most[a.regions[zone]] = max(most[a.regions[zone]], n)
	}
	hosting := map[kctport.Zone]bool{}
	for zone, n := range services {
		hosting[zone] = float64(n) >= hostingShare*float64(most[a.regions[zone]])
	}
	return hosting
}

// inOrder sorts the entries of a region in the order in which they become active.
func inOrder(list []kctport.EntryRecord, hosting map[kctport.Zone]bool) []kctport.EntryRecord {
	type candidate struct {
		entry kctport.EntryRecord
		hash  uint32
		// turn is the entry's place among those of its zone with the same cores.
		turn    int
		hosting int
	}
	ordered := make([]candidate, 0, len(list))
	for _, e := range list {
		c := candidate{entry: e, hash: idHash(e.ID)}
		if hosting[e.Zone] {
			c.hosting = 1
		}
		ordered = append(ordered, c)
	}
	byCores := func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.entry.Cores, x.entry.Cores), cmp.Compare(y.hosting, x.hosting))
	}
	byID := func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.entry.ID, y.entry.ID))
	}
	slices.SortFunc(ordered, func(x, y candidate) int {
		return cmp.Or(byCores(x, y), cmp.Compare(x.entry.Zone, y.entry.Zone), byID(x, y))
	})
	for i := 1; i < len(ordered); i++ {
		if before := ordered[i-1]; before.entry.Zone == ordered[i].entry.Zone && before.entry.Cores == ordered[i].entry.Cores {
			ordered[i].turn = before.turn + 1
		}
	}
	slices.SortFunc(ordered, func(x, y candidate) int {
		return cmp.Or(byCores(x, y), cmp.Compare(x.turn, y.turn), byID(x, y))
	})
	entries := make([]kctport.EntryRecord, 0, len(ordered))
	for _, c := range ordered {
		entries = append(entries, c.entry)
	}
	return entries
}

// size returns how many of the entries, in their order, are active for the load that they report.
func (s *regionSet) size(now time.Time, ordered []kctport.EntryRecord) int {
	used := 0.0
	for _, e := range ordered {
		used += e.Load * e.Cores
	}
	kept := s.demand * math.Exp2(-float64(now.Sub(s.at))/float64(demandHalfLife))
	s.demand, s.at = max(used, kept), now
	needed := func(load float64) int {
		n, capacity := 0, 0.0
		for n < len(ordered) && (n < minActive || capacity < s.demand) {
			capacity += ordered[n].Cores * load
			n++
		}
		return n
	}
	// The set shrinks only when fewer entries would still be far below their target load.
	low, high := needed(targetLoad), needed(targetLoad*shrinkFactor)
	s.count = min(max(s.count, low), high)
	return s.count
}

// idHash orders entries of the same size, so that the active ones spread evenly over machines and restarts.
func idHash(id kctport.InstanceID) uint32 {
	h := fnv.New32a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32() % math.MaxInt32
}
