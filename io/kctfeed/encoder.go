package kctfeed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	kctport "kingcupturn"
	"kingcupturn/io/kctproto"
)

const (
	// compressFrom is the size in bytes from which a value is compressed. Rules with 1,400 routes are 400 KB; 20 copies of them
	// kept a link of 20 Mbit/s busy for 5 s.
	compressFrom = 2 << 10
	// maxValue bounds a value in bytes; the store's own limit is 1 MB.
	maxValue = 16 << 20
)

// encoder makes messages; it compresses each large value once for all subscribers.
type encoder struct {
	mu     sync.Mutex
	packed map[string]packed
}

type packed struct {
	revision kctport.StoreRevision
	value    []byte
}

func newEncoder() *encoder {
	return &encoder{packed: map[string]packed{}}
}

func (e *encoder) update(f kctport.FeedUpdate) *kctproto.FeedUpdate {
	m := &kctproto.FeedUpdate{Full: f.Full, Away: f.StoreUnreachable, Age: int64(f.StoreAge)}
	for _, c := range f.Changes {
		m.Records = append(m.Records, e.record(c))
	}
	for _, member := range f.Members {
		m.Members = append(m.Members, &kctproto.FeedMember{Origin: string(member.Origin), Entry: encodeEntry(member.Entry), Gone: member.Unsubscribed})
	}
	return m
}

func (e *encoder) record(c kctport.RegistryChange) *kctproto.FeedRecord {
	r := &kctproto.FeedRecord{Key: c.Key, Revision: uint64(c.Revision), Value: c.Value, Deleted: c.Deleted}
	if len(c.Value) < compressFrom {
		return r
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.packed[c.Key]
	if p.value == nil || p.revision != c.Revision {
		p = packed{c.Revision, compress(c.Value)}
		e.packed[c.Key] = p
	}
	r.Value, r.Compressed = p.value, true
	return r
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	// Neither a valid level nor a buffer gives an error.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

func decompress(value []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(value))
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxValue))
}
