package kctforward

import (
	"bytes"
	"slices"
	"strconv"
)

// recordSize is the length of one record of a part, in bytes.
const recordSize = 16

// topRecords returns the topRecords records of all bodies, falling; a shorter remainder of a body is no record.
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
