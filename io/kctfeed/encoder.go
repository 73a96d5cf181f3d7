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
	// minCompressSize is the size in bytes from which a value is compressed. Rules with 1,400 routes are 400 KB; sending 20 uncompressed
	// copies of them saturated a link of 20 Mbit/s for 5 s.
	minCompressSize = 2 << 10
	// maxValueSize bounds a decompressed value in bytes; the store's own limit is 1 MB.
	maxValueSize = 16 << 20
)

// encoder encodes updates; it compresses each large value once for all subscribers.
type encoder struct {
	mu sync.Mutex
	// compressed holds the last large value of each key.
	compressed map[string]compressed
}

// compressed is a value of a key with its compressed form. It is found by the value itself, since a store that comes back from an older copy gives out
// revisions again.
type compressed struct {
	value []byte
	sent  []byte
}

func newEncoder() *encoder {
	return &encoder{compressed: map[string]compressed{}}
}

// encodeContact encodes an update without records; on the wire away is the lack of a watcher.
func encodeContact(c kctport.StoreContact) *kctproto.FeedUpdate {
	return &kctproto.FeedUpdate{
		Away: c.Watcher == "", Age: int64(c.Age), Steady: int64(c.Steady), Revision: c.Revision.Number, Era: c.Revision.Era, Silence: int64(c.Silence),
		Watcher: string(c.Watcher), Hops: uint32(c.Hops),
	}
}

// encodeUpdate encodes an update; on the wire gone is FeedMember.Unsubscribed.
func (e *encoder) encodeUpdate(f kctport.FeedUpdate) *kctproto.FeedUpdate {
	m := encodeContact(f.Store)
	m.Full, m.Suspicions, m.Moves = f.Full, encodeSuspicions(f.Suspicions), encodeMoves(f.Moves)
	for _, c := range f.Changes {
		m.Records = append(m.Records, e.encodeRecord(c))
	}
	for _, member := range f.Members {
		m.Members = append(m.Members, &kctproto.FeedMember{Origin: string(member.Origin), Entry: encodeEntry(member.Entry), Gone: member.Unsubscribed})
	}
	return m
}

func (e *encoder) encodeRecord(c kctport.RegistryChange) *kctproto.FeedRecord {
	r := &kctproto.FeedRecord{Key: c.Key, Revision: c.Revision.Number, Era: c.Revision.Era, Value: c.Value, Deleted: c.Deleted}
	if len(c.Value) < minCompressSize {
		return r
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.compressed[c.Key]
	if !bytes.Equal(p.value, c.Value) {
		p = compressed{c.Value, compress(c.Value)}
		e.compressed[c.Key] = p
	}
	r.Value, r.Compressed = p.sent, true
	return r
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	// NewWriter fails only for an invalid level, and writes to a buffer don't fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

func decompress(value []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(value))
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxValueSize))
}
