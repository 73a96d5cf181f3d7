package kctpeer

import (
	"bufio"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// readers holds buffered readers for reuse by decode.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// encode returns the message with a length prefix, so that it is sent in one write; a message above MaxMessage is refused with ErrInvalid.
func encode(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxMessage {
		return nil, eris.Wrapf(kctport.ErrInvalid, "message of %d bytes, at most %d are allowed", size, MaxMessage)
	}
	b := make([]byte, 0, size+protowire.SizeVarint(uint64(size)))
	b = protowire.AppendVarint(b, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
}

// decodeRequest reads one message of an accepted session, for which its connection takes memory, and returns its size in bytes with the length prefix.
func decodeRequest(r io.Reader, client *kctguard.Conn, m proto.Message) (int, error) {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	defer func() {
		b.Reset(nil)
		readers.Put(b)
	}()
	data, taken, err := client.ReadMessage(b, MaxMessage)
	defer client.Give(taken)
	if err != nil {
		return 0, err
	}
	return len(data) + protowire.SizeVarint(uint64(len(data))), proto.Unmarshal(data, m)
}

// decode reads one reply and returns its size in bytes with the length prefix.
func decode(r io.Reader, m proto.Message) (int, error) {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	defer func() {
		b.Reset(nil)
		readers.Put(b)
	}()
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessage}).UnmarshalFrom(b, m); err != nil {
		return 0, err
	}
	size := proto.Size(m)
	return size + protowire.SizeVarint(uint64(size)), nil
}
