package kctfake_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	kctport "kingcupturn"
	"kingcupturn/io/kctfake"
)

// TestExpectedLayout guards against answers that depend on the shard layout, since a client could then not tell a repartition from a loss.
func TestExpectedLayout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		snapshot := kctport.Snapshot(rapid.Uint64().Draw(t, "snapshot"))
		all := func(shards int) []kctport.Item {
			var items []kctport.Item
			for n := range shards {
				items = append(items, kctfake.ExpectedItems(kctport.Part{Service: "s", Shard: n}, shards, snapshot, body)...)
			}
			slices.SortFunc(items, func(a, b kctport.Item) int { return strings.Compare(a.ID, b.ID) })
			return items
		}
		if shards := rapid.IntRange(1, 20).Draw(t, "shards"); !slices.Equal(all(1), all(shards)) {
			t.Fatalf("%d shards give %v, 1 gives %v", shards, all(shards), all(1))
		}
	})
}
