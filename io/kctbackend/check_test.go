package kctbackend

import (
	"encoding/json"
	"net/http"
	"reflect"
	"testing"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// FuzzCheck guards against a damaged reply that passes the check with other items than were sent.
func FuzzCheck(f *testing.F) {
	call := kctport.PartCall{Request: "r", Part: kctport.Part{Service: "s", Shard: 1}, Shards: 2, Snapshot: 3}
	sent := kctwire.PartReply{
		Request: "r", Service: "s", Shard: 1, Shards: 2, Snapshot: 3, Count: 2,
		Items: []kctwire.Item{{ID: "a", Score: 0.5, Text: "x"}, {ID: "b", Score: 0.25}},
	}
	sent.Checksum = kctwire.Checksum(&sent)
	body, err := json.Marshal(sent)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(0, byte(0), 0)
	for n := range len(body) {
		f.Add(n, byte('1'), 1)
		f.Add(n, byte('}'), n)
	}
	f.Fuzz(func(t *testing.T, at int, by byte, drop int) {
		damaged := append([]byte{}, body...)
		if at >= 0 && at < len(damaged) && by != 0 {
			damaged[at] = by
		}
		damaged = damaged[:len(damaged)-max(0, min(drop, len(damaged)))]
		reply, err := check(call, response{status: http.StatusOK, body: damaged})
		if err == nil && !reflect.DeepEqual(reply.Items, kctwire.Items(sent.Items)) {
			t.Fatalf("accepted %s", damaged)
		}
	})
}
