package kctguard

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctquota"
	"kingcupturn/io/kctbody"
)

const (
	// maxHead is the limit in bytes that net/http keeps itself; those of the operator are lower and may change.
	maxHead = 1 << 20
	// headBuffer is the part of a head in bytes that belongs to its connection; net/http may have read as much of what follows the head.
	headBuffer = 4 << 10
	// headLines is the number of lines of a head that belong to its connection, and lineCost the memory in bytes of each further one once it is decoded.
	headLines = 64
	lineCost  = 192
	// takeStep is the memory in bytes that is taken at a time for what is received.
	takeStep = 4 << 10
	// freeBody is the part of a body in bytes that belongs to its connection.
	freeBody = 4 << 10
	// bodyStep is the memory in bytes that is taken at a time for a body of unknown length.
	bodyStep = 16 << 10
	// freeMessage is the part of a message of another entry in bytes that belongs to its connection, as does what is received before it has been read.
	freeMessage = 16 << 10
	// bufferGrowth is the memory in bytes that a buffer which doubles takes for each byte, at most.
	bufferGrowth = 2
	// freeAnswer is the part of an answer in bytes that belongs to its connection.
	freeAnswer = 4 << 10
	// writeStep is the number of bytes of an answer after which progress is recorded.
	writeStep = 16 << 10
	// refusalTimeout bounds the writing of the answer to a refused request, lingerTime the wait for the client to read it, and lingerBytes what is read
	// meanwhile.
	refusalTimeout = 200 * time.Millisecond
	lingerTime     = 200 * time.Millisecond
	lingerBytes    = 64 << 10
)

// headTooLong is the answer to a head above the operator's limit.
const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 14\r\n\r\nhead too long\n"

// errGaveWay is the error of a connection that is closed for others; net/http sends no answer after it.
var errGaveWay = io.EOF

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *listener
	holder   *kctquota.Holder
	// reason and answerable are set before gaveWay; answerable means that the request can still be refused.
	reason     kctquota.Reason
	answerable bool
	gaveWay    atomic.Bool
	// busy is set from the first byte of a request or of a peer on, inHead while a head is read.
	busy, inHead atomic.Bool
	// admitted is set once the first message of another entry has been read.
	admitted atomic.Bool
	// received, lines and taken belong to the goroutine that reads: bytes and lines of the head, or bytes before the first message, and the memory taken for them.
	received, lines, taken int
}

// giveWay ends the use of the connection: it is closed, or with answer set only the reading of a body ends, so that its request can be refused.
func (c *Conn) giveWay(answer bool, reason kctquota.Reason) {
	c.reason, c.answerable = reason, answer
	c.gaveWay.Store(true)
	if !answer {
		c.Conn.Close()
		return
	}
	// The errors are those of a connection that is closed already.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// CloseWrite ends what is sent, which net/http does before it closes a connection on which bytes were not read.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return eris.Wrap(kctport.ErrUnavailable, "not a TCP connection")
	}
	return tcp.CloseWrite()
}

// Read reads from the connection within the limits of a head.
func (c *Conn) Read(b []byte) (int, error) {
	if c.gaveWay.Load() {
		return 0, errGaveWay
	}
	n, err := c.Conn.Read(b)
	if c.gaveWay.Load() {
		return 0, errGaveWay
	}
	if n > 0 && !c.accept(b[:n]) {
		return 0, errGaveWay
	}
	return n, err
}

// accept counts bytes that were received, and reports whether they are within the limits.
func (c *Conn) accept(b []byte) bool {
	now := c.listener.guard.timer.Now()
	switch {
	case c.busy.Swap(true):
		c.holder.Progress(now)
	case c.listener.isHTTP:
		c.inHead.Store(true)
		c.holder.Begin(now)
	default:
		c.holder.ReadBody(now)
	}
	switch {
	case c.inHead.Load():
		return c.acceptHead(now, b)
	case !c.listener.isHTTP && !c.admitted.Load():
		return c.acceptPeer(now, b)
	}
	return true
}

// acceptPeer counts what was received before the first message has been read, which may wait in buffers of the connection's protocol.
func (c *Conn) acceptPeer(now time.Time, b []byte) bool {
	c.received += len(b)
	return c.takeUpTo(now, bufferGrowth*max(0, c.received-freeMessage))
}

// takeUpTo takes memory until the connection has a number of bytes for what it received, and reports whether there was any.
func (c *Conn) takeUpTo(now time.Time, cost int) bool {
	if cost <= c.taken {
		return true
	}
	size := (cost - c.taken + takeStep - 1) / takeStep * takeStep
	c.taken += size
	return c.holder.Take(now, size)
}

// acceptHead counts bytes of a head and reports whether they are within the limits.
func (c *Conn) acceptHead(now time.Time, b []byte) bool {
	c.received += len(b)
	if c.received > c.listener.limits().HeaderBytes+headBuffer {
		c.listener.guard.Refused(c.listener.name, kctquota.ReasonSize)
		c.refuse(headTooLong)
		return false
	}
	c.lines += bytes.Count(b, []byte{'\n'})
	return c.takeUpTo(now, max(0, c.received-headBuffer)+lineCost*max(0, c.lines-headLines))
}

// refuse sends an answer and closes the connection for writing. It waits for the client to close it, since closing it with bytes that were not read would
// take the answer away from the client.
func (c *Conn) refuse(answer string) {
	deadline := time.Now().Add(refusalTimeout)
	_ = c.SetWriteDeadline(deadline)
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(deadline.Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// beginBody records that the head has been read.
func (c *Conn) beginBody() {
	c.inHead.Store(false)
	c.busy.Store(true)
	c.holder.ReadBody(c.listener.guard.timer.Now())
}

// rest records that the connection has no request any more.
func (c *Conn) rest() {
	c.received, c.lines, c.taken = 0, 0, 0
	c.busy.Store(false)
	c.holder.Rest(c.listener.guard.timer.Now())
}

// Write writes to the connection and records progress.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writeStep)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		c.holder.Progress(c.listener.guard.timer.Now())
	}
}

// WaitUntil sets the time at which the client stops waiting for the request whose body is read.
func (c *Conn) WaitUntil(deadline time.Time) { c.holder.WaitUntil(deadline) }

// Run records that the request has been read; the error wraps ErrShed or ErrTimeout when the connection gave way meanwhile.
func (c *Conn) Run() error {
	if c.holder.Run() {
		return nil
	}
	return c.err(nil)
}

// Admit records that the first message of another entry has been read; the error wraps ErrShed or ErrTimeout when the connection gave way meanwhile.
func (c *Conn) Admit() error {
	if c.admitted.Load() {
		return nil
	}
	if !c.holder.Admit() {
		return c.err(nil)
	}
	c.admitted.Store(true)
	return nil
}

// Admitted reports whether Admit has been called with success.
func (c *Conn) Admitted() bool { return c.admitted.Load() }

// answer records that an answer of a size in bytes is written from now on.
func (c *Conn) answer(size int) {
	c.holder.Answer(c.listener.guard.timer.Now(), max(0, size-freeAnswer))
}

// err returns the error of reading a body: that of the connection, unless it gave way, and net.ErrClosed when its request can't be answered any more.
func (c *Conn) err(err error) error {
	switch {
	case !c.gaveWay.Load():
		return err
	case !c.answerable:
		return eris.Wrapf(net.ErrClosed, "the connection gave way: %s", c.reason)
	}
	sentinel := kctport.ErrShed
	if c.reason == kctquota.ReasonStall || c.reason == kctquota.ReasonDeadline {
		sentinel = kctport.ErrTimeout
	}
	return eris.Wrapf(errors.Join(sentinel, kctport.ErrNotRun), "the connection gives way: %s", c.reason)
}

// Give gives memory in bytes back.
func (c *Conn) Give(size int) { c.holder.Give(size) }

// Take takes memory in bytes; the error wraps ErrNotRun, and ErrShed or ErrTimeout.
func (c *Conn) Take(size int) error {
	if c.holder.Take(c.listener.guard.timer.Now(), size) {
		return nil
	}
	return cmp.Or(c.err(nil), eris.Wrap(errors.Join(kctport.ErrShed, kctport.ErrNotRun), "no memory for what the client sends"))
}

// ReadBody reads the body of a request; length is its length in bytes, negative when unknown. The error wraps ErrNotRun, and ErrShed or ErrTimeout, when there
// is no memory for the body or it does not arrive; other errors are those of body.
func (c *Conn) ReadBody(body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	first := make([]byte, freeBody)
	if length > 0 {
		first = first[:min(length, freeBody)]
	}
	n, err := kctbody.Fill(first, body)
	switch {
	case err == io.EOF && length < 0 && !c.gaveWay.Load():
		return first[:n], nil
	case err == io.EOF && length == int64(n):
	case err != nil:
		return nil, c.err(err)
	case length < 0:
		return c.readSteps(body, first)
	}
	if length == int64(n) {
		return first, nil
	}
	if err := c.Take(int(length)); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	copy(whole, first)
	if n, err = kctbody.Fill(whole[n:], body); err != nil && !(err == io.EOF && n == len(whole)-len(first)) {
		return nil, c.err(err)
	}
	return whole, nil
}

// readSteps reads the rest of a body of unknown length, whose first part has been read.
func (c *Conn) readSteps(body io.Reader, first []byte) ([]byte, error) {
	parts, size := [][]byte{first}, len(first)
	for {
		if err := c.Take(bodyStep); err != nil {
			return nil, err
		}
		step := make([]byte, bodyStep)
		n, err := kctbody.Fill(step, body)
		parts, size = append(parts, step[:n]), size+n
		if err == io.EOF && !c.gaveWay.Load() {
			break
		}
		if err != nil {
			return nil, c.err(err)
		}
	}
	if err := c.Take(size); err != nil {
		return nil, err
	}
	whole := bytes.Join(parts, nil)
	c.Give((len(parts) - 1) * bodyStep)
	return whole, nil
}

// ReadMessage reads a message of at most limit bytes that follows its length, as other entries send them. Memory is taken as its bytes arrive; the caller gives
// it back, also after an error, which is that of the connection or wraps ErrMismatch or ErrShed.
func (c *Conn) ReadMessage(r *bufio.Reader, limit int) (data []byte, taken int, err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if size > uint64(limit) {
		return nil, 0, eris.Wrapf(kctport.ErrMismatch, "message of %d bytes, at most %d are allowed", size, limit)
	}
	for left := int(size); left > 0; left = int(size) - len(data) {
		// The buffer doubles, so that the length alone takes no memory.
		step := min(left, max(freeMessage, len(data)))
		if len(data) > 0 {
			if err := c.Take(bufferGrowth * step); err != nil {
				return nil, taken, err
			}
			taken += bufferGrowth * step
		}
		data = slices.Grow(data, step)[:len(data)+step]
		if _, err := io.ReadFull(r, data[len(data)-step:]); err != nil {
			return nil, taken, err
		}
	}
	return data, taken, nil
}
