package kctwire

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// Paths of the endpoint interface; faults, counts and actions are served by the stand-in only.
const (
	PathParts   = "/v1/parts"
	PathStatus  = "/v1/status"
	PathFaults  = "/v1/faults"
	PathCounts  = "/v1/counts"
	PathActions = "/v1/actions"
)

// QueryRequest is the query parameter with the identifier of a status call.
const QueryRequest = "request"

// Values of Refusal.Code.
const (
	CodeSnapshot = "snapshot"
	CodeShed     = "shed"
	CodeDraining = "draining"
	CodeDeadline = "deadline"
	CodeFailed   = "failed"
	CodeInvalid  = "invalid"
)

// Values of Refusal.Ran.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
)

// PartRequest requests one part from an endpoint; Deadline is the remaining time.
type PartRequest struct {
	Request  string              `json:"request"`
	Service  kctport.ServiceName `json:"service"`
	Shard    int                 `json:"shard"`
	Shards   int                 `json:"shards"`
	Snapshot kctport.Snapshot    `json:"snapshot"`
	Route    string              `json:"route"`
	Body     []byte              `json:"body"`
	Key      string              `json:"key,omitempty"`
	Deadline Duration            `json:"deadline"`
}

// Item is one result in a PartReply.
type Item struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// PartReply is the reply to a PartRequest; Count is the number of items, and Checksum is computed by the function of that name.
type PartReply struct {
	Request  string              `json:"request"`
	Service  kctport.ServiceName `json:"service"`
	Shard    int                 `json:"shard"`
	Shards   int                 `json:"shards"`
	Snapshot kctport.Snapshot    `json:"snapshot"`
	Count    int                 `json:"count"`
	Checksum string              `json:"sum"`
	Items    []Item              `json:"items"`
}

// Holding is one snapshot of a shard that an endpoint holds.
type Holding struct {
	Snapshot kctport.Snapshot `json:"snapshot"`
	Shard    int              `json:"shard"`
	Shards   int              `json:"shards"`
}

// Refusal is the reply of an endpoint that gives no answer, with the reason and whether the request ran.
// It contains the request identifier, so that a refusal left over on a reused connection is not taken as proof that another request did not run.
type Refusal struct {
	Request  string    `json:"request"`
	Code     string    `json:"code"`
	Ran      string    `json:"ran"`
	Message  string    `json:"message,omitempty"`
	Holdings []Holding `json:"holdings,omitempty"`
}

// Status is the reply to a status call, whose identifier it contains; Boot identifies the process run.
type Status struct {
	Request     string    `json:"request"`
	Boot        uint64    `json:"boot"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	InFlight    int       `json:"inflight"`
	Draining    bool      `json:"draining"`
	Holdings    []Holding `json:"holdings"`
}

// Checksum returns the xxHash checksum of a reply as 16 hexadecimal digits, computed over every field except Count and Checksum.
func Checksum(r *PartReply) string {
	buf := make([]byte, 0, 512)
	text := func(s string) { buf = append(append(buf, s...), 0) }
	number := func(n uint64) { buf = append(strconv.AppendUint(buf, n, 10), 0) }
	text(r.Request)
	text(string(r.Service))
	number(uint64(r.Shard))
	number(uint64(r.Shards))
	number(uint64(r.Snapshot))
	for _, i := range r.Items {
		text(i.ID)
		number(math.Float64bits(i.Score))
		text(i.Text)
	}
	digits := strconv.FormatUint(xxhash.Sum64(buf), 16)
	const width = 16
	for len(digits) < width {
		digits = "0" + digits
	}
	return digits
}

// Items converts the items of a reply to those of the root package.
func Items(items []Item) []kctport.Item {
	out := make([]kctport.Item, len(items))
	for n, i := range items {
		out[n] = kctport.Item(i)
	}
	return out
}
