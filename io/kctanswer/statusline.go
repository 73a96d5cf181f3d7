package kctanswer

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// The statuses that an answer may have.
const (
	minStatus = 100
	maxStatus = 599
)

// nextStatusLine returns the index of the first status line in b from an index on, -1 without one.
func nextStatusLine(b []byte, from int) int {
	for from < len(b) {
		i := bytes.Index(b[from:], protocol)
		if i < 0 {
			return -1
		}
		if from += i; isStatusLine(b[from:]) {
			return from
		}
		from++
	}
	return -1
}

// isStatusLine reports whether b, which begins with the protocol's name, goes on with a version, a status and the byte after it, as net/http accepts them.
func isStatusLine(b []byte) bool {
	const versionEnd, statusLength = len("HTTP/1.1"), len("200")
	if len(b) <= versionEnd || !isDigits(b[len(protocol):len(protocol)+1]) || b[len(protocol)+1] != '.' || b[versionEnd] != ' ' {
		return false
	}
	status := bytes.TrimLeft(b[versionEnd:], " ")
	return len(status) > statusLength && isDigits(status[:statusLength]) && bytes.IndexByte([]byte(" \r\n"), status[statusLength]) >= 0
}

func isDigits(b []byte) bool {
	for _, d := range b {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}

// IsTimeoutNotice reports whether bytes on an idle connection are the beginning of an answer 408, by which sound servers announce that they close it.
func IsTimeoutNotice(b []byte) bool {
	return bytes.HasPrefix(b, protocol) && isStatusLine(b) && bytes.HasPrefix(bytes.TrimLeft(b[len("HTTP/1.1"):], " "), []byte("408"))
}

// CheckStatusLine returns an error that wraps ErrMismatch unless b begins with the status line of an answer over HTTP/1.0 or 1.1. net/http also reads other
// versions, statuses that are none, and more than one space before the status.
func CheckStatusLine(b []byte) error {
	const version, statusAt, statusEnd = len("HTTP/1."), len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(b) > statusEnd && bytes.HasPrefix(b, []byte("HTTP/1.")) && (b[version] == '0' || b[version] == '1') && b[statusAt-1] == ' ' &&
		isDigits(b[statusAt:statusEnd]) && bytes.IndexByte([]byte(" \r\n"), b[statusEnd]) >= 0 {
		if status, err := strconv.Atoi(string(b[statusAt:statusEnd])); err == nil && ValidStatus(status) {
			return nil
		}
	}
	return eris.Wrapf(kctport.ErrMismatch, "no status line of an answer: %.*q", maxExcerpt, b)
}

// ValidStatus reports whether a number is the status of an answer.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }
