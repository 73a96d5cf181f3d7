package kctanswer

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// maxExcerpt is the largest part of an answer in bytes that a reason quotes.
	maxExcerpt = 80
	// shortGap and longGap are how long the rest of a second copy is waited for when its beginning may be part of an answer: shortGap for the rest of a write, longGap
	// for the next one of an endpoint that writes in pieces.
	shortGap = 5 * time.Millisecond
	longGap  = 30 * time.Millisecond
)

// protocol is the beginning of each status line.
var protocol = []byte("HTTP/")

// Context is what is known of the request whose answer is read, and of its connection.
type Context struct {
	// ID is the request's identifier, FormerID that of the request before it on the connection.
	ID, FormerID string
	// Suspected is set when the endpoint is known for second copies.
	Suspected bool
}

// Connection is what the end of an answer is checked on.
type Connection interface {
	// Peek returns the next bytes that have arrived, without waiting for them or taking them.
	Peek() []byte
	// WaitForMore waits for bytes that follow, and reports whether they have come.
	WaitForMore(wait time.Duration) bool
}

// HoldsStatusLine reports whether a status line is within the head, outside of the request's identifier, which an endpoint repeats.
func (a *Answer) HoldsStatusLine(id string) bool { return a.statusLineInHead(id, 1) >= 0 }

// statusLineInHead returns the index of the first status line within the head from an index on, -1 without one.
func (a *Answer) statusLineInHead(id string, from int) int {
	for {
		at := nextStatusLine(a.head, from)
		if at < 0 || !isWithin(a.head, at, id) {
			return at
		}
		from = at + 1
	}
}

// isWithin reports whether an index of b is in a part of it that has the bytes of id.
func isWithin(b []byte, at int, id string) bool {
	begin, end := max(0, at-len(id)+1), min(len(b), at+len(id))
	return id != "" && bytes.Contains(b[begin:end], []byte(id))
}

// HeadAmbiguity returns why the head may consist of parts of two, empty when it can't.
//
// A head that another answer began, or the same one before it broke off, holds the status line of the answer that follows.
func (a *Answer) HeadAmbiguity(c Context) string {
	for at := a.statusLineInHead(c.ID, 1); at >= 0; at = a.statusLineInHead(c.ID, at+1) {
		if !a.First || a.beginsAnewAt(at) || repeatsField(a.Header) {
			return fmt.Sprintf("a status line within the head: %.*q", maxExcerpt, a.head[at:])
		}
	}
	return ""
}

// repeatsField reports whether a head has a field twice.
func repeatsField(h http.Header) bool {
	for _, values := range h {
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

// IsWhole reports whether an answer that doesn't belong to the request is a whole one, so that the next answer begins after it. A copy that broke off in its
// body or trailer would have taken the status line of the next answer for a part of it.
func (a *Answer) IsWhole() bool {
	return a.framed && nextStatusLine(a.head, 1) < 0 && nextStatusLine(a.Body, 0) < 0 && !a.trailerHoldsStatusLine()
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

// trailerBeginsAnew reports whether the trailer may go over into another answer, whose fields it then holds.
func (a *Answer) trailerBeginsAnew() bool {
	if !a.trailerHoldsStatusLine() {
		return false
	}
	for name := range a.trailer {
		if len(a.Header[name]) > 0 {
			return true
		}
	}
	return false
}

// bodyBeginsAnew reports whether the body holds the beginning of its own answer: all of its head, or what fits at the end of the body.
func (a *Answer) bodyBeginsAnew() bool {
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

// holdsHeadOf reports whether the body holds the head of an answer to a request. With brokenOff set only one counts that is no whole head, since its end
// was taken for that of a chunk.
func (a *Answer) holdsHeadOf(id string, brokenOff bool) bool {
	if id == "" {
		return false
	}
	for at := nextStatusLine(a.Body, 0); at >= 0; {
		head, _, isWhole := bytes.Cut(a.Body[at:], []byte("\r\n\r\n"))
		if bytes.Contains(head, []byte(id)) && !(brokenOff && isWhole && areFields(head)) {
			return true
		}
		if !isWhole {
			return false
		}
		at = nextStatusLine(a.Body, at+len(head))
	}
	return false
}

// areFields reports whether all lines after the first one are fields.
func areFields(head []byte) bool {
	lines := bytes.Split(head, []byte("\r\n"))
	return !slices.ContainsFunc(lines[1:], func(line []byte) bool { return bytes.IndexByte(line, ':') < 0 })
}

// endsInHead reports whether the body ends within a head that begins like its own answer's.
func (a *Answer) endsInHead() bool {
	last := -1
	for at := nextStatusLine(a.Body, 0); at >= 0; at = nextStatusLine(a.Body, at+1) {
		last = at
	}
	if last < 0 {
		return false
	}
	head := a.Body[last:]
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	whole := head[:max(0, bytes.LastIndex(head, []byte("\r\n")))]
	return bytes.HasPrefix(a.head, line) && !bytes.Contains(head, []byte("\r\n\r\n")) && areFields(whole)
}

// holdsOther returns why the body holds a part of another answer that left nothing behind, empty when it doesn't. Of a known length, a part that is put
// in leaves something.
func (a *Answer) holdsOther(c Context) string {
	switch {
	case a.chunked && (a.holdsHeadOf(c.ID, true) || a.holdsHeadOf(c.FormerID, true)):
		return "chunks that hold a head without its end"
	case !a.framed && (a.holdsHeadOf(c.ID, false) || a.holdsHeadOf(c.FormerID, false)):
		return "a body without a length that holds the head of an answer to this request or the one before"
	case !a.framed && a.endsInHead():
		return "a body without a length that ends in a head"
	}
	return ""
}

// EndAmbiguity returns why the end of the last answer may belong to another one, empty when it doesn't, and whether nothing has come after it.
//
// If an answer breaks off in its body and its copy fills up the body, the rest of the copy follows; bytes put into a body push as many of its own beyond its
// end.
func (r *Reader) EndAmbiguity(a *Answer, c Context, conn Connection) (reason string, clean bool) {
	holdsProtocol := bytes.Contains(a.Body, protocol)
	anew := holdsProtocol && a.bodyBeginsAnew()
	switch {
	case a.trailerBeginsAnew():
		return "a trailer that goes over into an answer", false
	case holdsProtocol && a.holdsOther(c) != "":
		return a.holdsOther(c), false
	case !a.framed && (anew || r.reads > 1 && bytes.HasPrefix(a.start, r.last)):
		return "a body without a length that holds its answer's head", false
	case !a.framed:
		return "", true
	}
	rest := r.rest(conn)
	if wait := r.gap(a, anew, c.Suspected); len(rest) == 0 && wait > 0 && conn.WaitForMore(wait) {
		rest = r.rest(conn)
	}
	switch {
	case len(rest) == 0:
		return "", true
	case anew:
		return fmt.Sprintf("a body that holds its answer's head, followed by %.*q", maxExcerpt, rest), false
	case mayHoldPartOf(a.Body, rest):
		return fmt.Sprintf("a body that may hold a part of another answer, followed by %.*q", maxExcerpt, rest), false
	}
	return "", false
}

// gap returns how long the rest of a second copy is waited for, 0 for not at all.
func (r *Reader) gap(a *Answer, anew, suspected bool) time.Duration {
	inPieces := r.reads > 1
	switch {
	case inPieces && (suspected || anew):
		return longGap
	case anew || inPieces && endsInBeginning(a.Body) > 0:
		return shortGap
	}
	return 0
}

// endsInBeginning returns the number of bytes at the end of a body, less than those of the protocol's name, with which another answer may begin.
func endsInBeginning(body []byte) int {
	for n := len(protocol) - 1; n > 0; n-- {
		if bytes.HasSuffix(body, protocol[:n]) {
			return n
		}
	}
	return 0
}

// mayHoldPartOf reports whether a body may hold bytes of the answer of which rest is left, or of another one that pushed rest beyond its end.
func mayHoldPartOf(body, rest []byte) bool {
	isAnswer := bytes.HasPrefix(rest, protocol)
	if bytes.Contains(body, protocol) {
		return !isAnswer
	}
	if n := endsInBeginning(body); n > 0 && bytes.HasPrefix(rest, protocol[n:min(len(protocol), n+len(rest))]) {
		return true
	}
	return len(rest) < len(protocol) && bytes.Contains(body, protocol[:len(rest)])
}

// rest returns the bytes after the last answer that have arrived.
func (r *Reader) rest(c Connection) []byte {
	switch buffered := r.Peek(); {
	case len(buffered) > 0:
		return buffered
	case r.drained:
		return nil
	}
	return c.Peek()
}
