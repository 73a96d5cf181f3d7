package kctfake

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

const (
	// documents is the size of a service's corpus in each snapshot.
	documents = 64
	// selectivity is the ratio of documents to matches of a body.
	selectivity = 4
)

// ExpectedItems returns the items of a part in order of falling score, so that a client can recompute an answer.
// A document's shard follows from the layout; whether it matches follows from service, snapshot and body only,
// so the items of all shards together do not depend on the number of shards.
func ExpectedItems(part kctport.Part, shards int, snapshot kctport.Snapshot, body []byte) []kctport.Item {
	items := []kctport.Item{}
	var seed []byte
	for n := range documents {
		id := string(part.Service) + "-" + strconv.Itoa(n)
		if int(xxhash.Sum64String(id)%uint64(shards)) != part.Shard {
			continue
		}
		seed = append(append(seed[:0], id...), 0)
		seed = append(strconv.AppendUint(seed, uint64(snapshot), 10), 0)
		sum := xxhash.Sum64(append(seed, body...))
		if sum%selectivity != 0 {
			continue
		}
		items = append(items, kctport.Item{
			ID:    id,
			Score: float64(sum>>11) / (1 << 53),
			Text:  fmt.Sprintf("document %d of snapshot %d", n, snapshot),
		})
	}
	slices.SortFunc(items, func(a, b kctport.Item) int { return cmp.Compare(b.Score, a.Score) })
	return items
}
