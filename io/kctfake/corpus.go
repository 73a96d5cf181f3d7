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
	// documents is the number of documents of a service in each snapshot.
	documents = 64
	// selectivity is the mean number of documents per match: one in 4 matches a body.
	selectivity = 4
)

// ExpectedItems returns the items of a part in descending order of score, so that a caller can recompute an answer.
// The number of shards decides only the shard of a document, while its match depends on service, snapshot and body,
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
