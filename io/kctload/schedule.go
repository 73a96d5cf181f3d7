package kctload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is a scheduled request of a load.
type Arrival struct {
	// Offset is the intended send time from the start of the load.
	Offset time.Duration
	// Kind is an index into Workload.Kinds.
	Kind   int
	Urgent bool
	Text   string
}

// Schedule returns the arrivals of a workload in ascending order of offset; they depend on the arguments alone.
func Schedule(w Workload, seed uint64, length time.Duration) []Arrival {
	var all []Arrival
	for i, k := range w.Kinds {
		all = append(all, arrivals(k, i, seed, length)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.Offset, b.Offset) })
	return all
}

// arrivals returns the Poisson arrivals of one kind.
func arrivals(k Kind, index int, seed uint64, length time.Duration) []Arrival {
	r := rand.New(rand.NewPCG(seed, uint64(index)))
	var all []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / k.Rate * float64(time.Second))
		if at >= length {
			return all
		}
		body := len(all)
		if k.Bodies > 0 {
			body = r.IntN(k.Bodies)
		}
		all = append(all, Arrival{
			Offset: at, Kind: index, Urgent: r.Float64() < k.Urgent,
			Text: fmt.Sprintf("%s %d %d", k.Name, seed, body),
		})
	}
}
