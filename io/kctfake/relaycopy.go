package kctfake

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkSize is the maximum size of one read, in bytes.
	chunkSize = 32 << 10
	// maxPendingChunks bounds the chunks held back by the delay or a blocked direction; above it the relay stops reading, so the sender is throttled.
	maxPendingChunks = 256
)

// chunk is data read by a relay that is written when due.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction and reads on while earlier chunks are delayed. The end of one direction ends both.
func (r *Relay) copy(ctx context.Context, cancel context.CancelFunc, to, from net.Conn, blocked func(RelayFaults) bool) {
	defer cancel()
	chunks := make(chan chunk, maxPendingChunks)
	var group sync.WaitGroup
	group.Go(func() {
		defer close(chunks)
		r.read(ctx, from, chunks)
	})
	defer group.Wait()
	defer cancel()
	for c := range chunks {
		if !pause(ctx, time.Until(c.due)) || !r.waitUnblocked(ctx, blocked) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// read reads chunks until the connection or the context ends.
func (r *Relay) read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	for {
		data := make([]byte, chunkSize)
		n, err := from.Read(data)
		if n > 0 {
			f, _ := r.state()
			select {
			case chunks <- chunk{data: data[:n], due: time.Now().Add(f.Delay)}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}
