package kctanswer

import (
	"bytes"
	"fmt"
)

// maxExcerpt is the largest part of an answer in bytes that a reason quotes.
const maxExcerpt = 80

// protocol is the beginning of each status line.
var protocol = []byte("HTTP/")

// singleFields are fields that an answer has once at most.
var singleFields = []string{"Content-Type", "Date", "Location", "Transfer-Encoding"}

// HeadAmbiguity returns why the head may consist of parts of two, empty when it can't.
//
// A head that another answer began, or the same one before it broke off, holds the status line of the answer that follows.
func (a *Answer) HeadAmbiguity() string {
	for at := nextStatusLine(a.head, 1); at >= 0; at = nextStatusLine(a.head, at+1) {
		if !a.First || a.beginsAnewAt(at) || a.repeatsField() {
			return fmt.Sprintf("a status line within the head: %.*q", maxExcerpt, a.head[at:])
		}
	}
	for _, name := range singleFields {
		if len(a.Header[name]) > 1 {
			return "a head with two fields " + name
		}
	}
	return ""
}

// repeatsField reports whether the head has a field twice.
func (a *Answer) repeatsField() bool {
	for _, values := range a.Header {
		if len(values) > 1 {
			return true
		}
	}
	return false
}

// beginsAnewAt reports whether the head of a connection's first answer is followed by the same bytes as at its beginning from an index on.
func (a *Answer) beginsAnewAt(at int) bool {
	again := a.head[at:]
	brokenOff := a.start[:len(a.start)-len(again)]
	n := min(len(again), len(brokenOff))
	return bytes.Equal(again[:n], brokenOff[:n])
}

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

// IsWhole reports whether an answer that doesn't belong to the request is a whole one, so that the next answer begins after it. A copy that broke off in its
// body would have taken the status line of the next answer for a part of it.
func (a *Answer) IsWhole() bool {
	return a.framed && nextStatusLine(a.head, 1) < 0 && nextStatusLine(a.Body, 0) < 0
}

// beginsAnew reports whether the body holds the beginning of its own answer: all of its head, or what fits at the end of the body.
func (a *Answer) beginsAnew() bool {
	if bytes.Contains(a.Body, a.start) {
		return true
	}
	end := a.Body[max(0, len(a.Body)-len(a.start)):]
	for {
		i := bytes.Index(end, protocol)
		if i < 0 {
			return false
		}
		if end = end[i:]; bytes.HasPrefix(a.start, end) {
			return true
		}
		end = end[1:]
	}
}

// trailerHoldsStatusLine reports whether a field after the body holds a status line.
func (a *Answer) trailerHoldsStatusLine() bool {
	for _, values := range a.trailer {
		for _, v := range values {
			if nextStatusLine([]byte(v+"\n"), 0) >= 0 {
				return true
			}
		}
	}
	return false
}

// Connection is what an Answer's end is checked on.
type Connection interface {
	// Peek returns the next bytes that have arrived, without waiting for them or taking them.
	Peek() []byte
	// WaitForMore waits shortly for bytes that follow, and reports whether they have come.
	WaitForMore() bool
}

// EndAmbiguity returns why the end of the last answer may belong to another one, empty when it doesn't, and whether nothing has come after it.
//
// If an answer breaks off in its body and its copy fills up the body, the rest of the copy follows; bytes put into an answer push as many of its own beyond
// its end. Only the beginning of another answer may follow.
func (r *Reader) EndAmbiguity(a *Answer, c Connection) (reason string, clean bool) {
	if a.trailerHoldsStatusLine() {
		return "a status line within a trailer", false
	}
	anew := a.beginsAnew()
	if !a.framed {
		if anew || len(r.last) > 0 && bytes.HasPrefix(a.start, r.last) {
			return "a body without a length that holds its answer's head", false
		}
		return "", true
	}
	rest := r.rest(c)
	if len(rest) == 0 && anew && c.WaitForMore() {
		rest = r.rest(c)
	}
	switch {
	case len(rest) == 0:
		return "", true
	case anew:
		return fmt.Sprintf("a body that holds its answer's head, followed by %.*q", maxExcerpt, rest), false
	case !bytes.HasPrefix(rest, protocol):
		return fmt.Sprintf("an answer followed by %.*q", maxExcerpt, rest), false
	}
	return "", false
}

// rest returns the bytes after the last answer that have arrived.
func (r *Reader) rest(c Connection) []byte {
	if n := r.buffer.Buffered(); n > 0 {
		// Peeking at what is buffered can't fail.
		rest, _ := r.buffer.Peek(n)
		return rest
	}
	if r.drained {
		return nil
	}
	return c.Peek()
}
