package kctmember

import (
	"math/bits"

	kctport "kingcupturn"
)

// gossipQueue holds the members whose latest change is still to be sent, by the number of times it was sent.
type gossipQueue struct {
	levels [][]kctport.InstanceID
	// level is the current level of each member; its occurrences in other levels are stale.
	level map[kctport.InstanceID]int
}

func newGossipQueue() gossipQueue {
	return gossipQueue{level: map[kctport.InstanceID]int{}}
}

// add queues a member's change with no sends so far.
func (g *gossipQueue) add(id kctport.InstanceID) {
	if l, ok := g.level[id]; !ok || l != 0 {
		g.enqueue(id, 0)
	}
}

// remove drops a change that is sent by another queue.
func (g *gossipQueue) remove(id kctport.InstanceID) {
	delete(g.level, id)
}

func (g *gossipQueue) enqueue(id kctport.InstanceID, level int) {
	for len(g.levels) <= level {
		g.levels = append(g.levels, nil)
	}
	g.levels[level] = append(g.levels[level], id)
	g.level[id] = level
}

// dequeue returns up to limit members, those sent least often first, and drops each after its last send; members is the size of the table.
func (g *gossipQueue) dequeue(limit, members int) []kctport.InstanceID {
	var out []kctport.InstanceID
	var next []int
	for l := 0; l < len(g.levels) && len(out) < limit; l++ {
		for len(g.levels[l]) > 0 && len(out) < limit {
			id := g.levels[l][0]
			g.levels[l] = g.levels[l][1:]
			if cur, ok := g.level[id]; ok && cur == l {
				delete(g.level, id)
				out = append(out, id)
				next = append(next, l+1)
			}
		}
	}
	for i, id := range out {
		if next[i] < maxSends(members) {
			g.enqueue(id, next[i])
		}
	}
	return out
}

// maxSends returns how often a change is sent: about 3 log2(n) sends reach every member with high probability.
func maxSends(members int) int {
	return 3 * max(1, bits.Len(uint(members)))
}
