package kctroute

import (
	"sync"

	kctport "kingcupturn"
)

// RoundRobin picks the eligible replicas of a part in turn, regardless of zone and load; it is the baseline for Picker.
type RoundRobin struct {
	index *Index

	mu   sync.Mutex
	next map[kctport.Part]int
}

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{index: NewIndex(), next: make(map[kctport.Part]int)}
}

// Pick implements kctport.Picker.
func (rr *RoundRobin) Pick(view *kctport.View, part kctport.Part, snapshot kctport.Snapshot, request string, tried []kctport.InstanceID) (*kctport.Replica, error) {
	all, err := rr.index.candidates(view, part, snapshot, request, tried)
	if err != nil {
		return nil, err
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.next[part]++
	return all[rr.next[part]%len(all)], nil
}
