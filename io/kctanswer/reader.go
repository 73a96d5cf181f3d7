package kctanswer

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"kingcupturn/io/kctbody"
)

const (
	// readBuffer is the size of a read buffer in bytes; it fits the head of an answer and a small body.
	readBuffer = 2 << 10
	// maxHead is the largest accepted head of an answer in bytes; the users' callers may send 16 KiB.
	maxHead = 64 << 10
	// maxLast is the number of bytes that are kept of the last read.
	maxLast = 64
	// keptHead is the largest memory in bytes that is kept for the next head.
	keptHead = 4 << 10
)

// errHeadTooLong ends the reading of a head without end.
var errHeadTooLong = errors.New("head of more than 64 KiB")

// Answer is one answer, which may also be an interim one.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is set when no other answer follows on the connection.
	Close bool
	// First is set for the connection's first answer, which can't be a copy of an earlier one.
	First bool
	// start holds the bytes from the first interim answer to the end of the head, head those of the head; they are valid until the next answer is read.
	start, head []byte
	// framed is set when the answer's end is known without the end of the connection, chunked when chunks tell it.
	framed, chunked bool
	// trailer holds the fields after the body.
	trailer http.Header
}

// Reader reads the answers on one connection; it is not safe for concurrent use.
type Reader struct {
	source io.Reader
	buffer *bufio.Reader
	// head holds the bytes received since the beginning of the head that is being read, or of the interim answers before it.
	head        []byte
	readingHead bool
	// afterInterim is set while the last answer is an interim one.
	afterInterim bool
	// drained is set when the last read took all that the connection had; reads counts those since the first byte of the answer.
	drained bool
	reads   int
	// last holds the first bytes of the last read.
	last []byte
	// answers counts the final answers read.
	answers int
}

// NewReader returns a reader of answers that come from source.
func NewReader(source io.Reader) *Reader {
	r := &Reader{source: source}
	r.buffer = bufio.NewReaderSize(readerFunc(r.fill), readBuffer)
	return r
}

// readerFunc is an io.Reader that calls itself.
type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// fill reads from the connection, records the bytes of a head and bounds them.
func (r *Reader) fill(b []byte) (int, error) {
	if r.readingHead {
		if len(r.head) >= maxHead {
			return 0, errHeadTooLong
		}
		b = b[:min(len(b), maxHead-len(r.head))]
	}
	n, err := r.source.Read(b)
	r.drained = n < len(b)
	if r.readingHead {
		r.head = append(r.head, b[:n]...)
	}
	if n > 0 {
		r.reads++
		r.last = append(r.last[:0], b[:min(n, maxLast)]...)
	}
	return n, err
}

// Wait waits for the first byte of an answer.
func (r *Reader) Wait() error {
	_, err := r.buffer.Peek(1)
	return err
}

// headRequest is what net/http needs to know of a request whose answer has no body.
var headRequest = &http.Request{Method: http.MethodHead}

// Next reads the next answer to a request of a method, interim ones included; limit bounds its body in bytes.
func (r *Reader) Next(method string, bodies *kctbody.Reader, limit int) (*Answer, error) {
	if !r.afterInterim {
		r.head, r.reads = r.head[:0], min(1, r.buffer.Buffered())
	}
	begin := len(r.head)
	var request *http.Request
	if method == http.MethodHead {
		request = headRequest
	}
	raw, err := r.readHead(request)
	if err != nil {
		return nil, err
	}
	if err := CheckStatusLine(r.head[begin:]); err != nil {
		return nil, err
	}
	a := &Answer{
		Status: raw.StatusCode, Header: raw.Header, Close: raw.Close, First: r.answers == 0, start: r.head, head: r.head[begin:],
		framed: raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0 || raw.Body == http.NoBody, chunked: len(raw.TransferEncoding) > 0,
	}
	if r.afterInterim = a.Interim(); r.afterInterim {
		return a, nil
	}
	if a.Body, err = bodies.Read(raw.Body, limit); err != nil {
		// Closing the body would read on to its end.
		return nil, err
	}
	raw.Body.Close()
	a.trailer = raw.Trailer
	r.answers++
	return a, nil
}

// readHead reads the head of an answer and records its bytes.
func (r *Reader) readHead(request *http.Request) (*http.Response, error) {
	if len(r.head) == 0 && cap(r.head) > keptHead {
		r.head = nil
	}
	r.head, r.readingHead = append(r.head, r.Peek()...), true
	raw, err := http.ReadResponse(r.buffer, request)
	r.readingHead = false
	if err == nil {
		r.head = r.head[:len(r.head)-r.buffer.Buffered()]
	}
	return raw, err
}

// Peek returns what has been read from the connection and is not part of an answer yet.
func (r *Reader) Peek() []byte {
	// Peeking at what is buffered can't fail.
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	return buffered
}

// BeginsAnew reports whether the head that was read last, or what is none, holds a second status line.
func (r *Reader) BeginsAnew() bool { return nextStatusLine(r.head, 1) >= 0 }

// Answers returns the number of final answers read.
func (r *Reader) Answers() int { return r.answers }

// Head returns the beginning of the head that was read last, or of the bytes that are none, for logs.
func (r *Reader) Head() []byte { return r.head }

// Interim reports whether another answer to the same request follows.
func (a *Answer) Interim() bool { return a.Status < http.StatusOK }
