package kctport

import "time"

// Query is a caller's idempotent request over one or more services.
type Query struct {
	ID       string
	Services []ServiceName
	Route    string
	Urgent   bool
	Body     []byte
	Deadline time.Time
}

// Coverage says which parts of a query an answer covers.
type Coverage struct {
	Answered int
	Total    int
	Missing  []Part
}

// Complete reports whether every part answered.
func (c Coverage) Complete() bool {
	return c.Total > 0 && c.Answered == c.Total && len(c.Missing) == 0
}

// Answer is the merged reply to a query; all items come from one snapshot.
type Answer struct {
	ID       string
	Snapshot Snapshot
	Items    []Item
	Coverage Coverage
}

// Execution is a caller's non-idempotent request to one service.
type Execution struct {
	Key      string
	Service  ServiceName
	Route    string
	Body     []byte
	Deadline time.Time
}

// Result is the reply to an execution.
type Result struct {
	Key   string
	Items []Item
}
