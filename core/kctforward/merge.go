package kctforward

import (
	"bytes"
	"slices"
	"strconv"
)

// recordSize is the length in bytes of one record in a part's body.
const recordSize = 16

// topRecords returns the top greatest records of all bodies in descending order; a shorter remainder of a body is ignored.
func topRecords(bodies [][]byte, top int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(top, len(records))], nil)
}

func statusText(status int) string {
	return "status " + strconv.Itoa(status)
}
