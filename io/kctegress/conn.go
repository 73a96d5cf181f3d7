package kctegress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	kctport "kingcupturn"
	"kingcupturn/io/kctanswer"
	"kingcupturn/io/kctbody"
)

const (
	// keepAliveMargin is subtracted from an endpoint's stated idle timeout, since a request takes time to arrive.
	keepAliveMargin = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when its endpoint states no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxCarried is the number of requests on a connection whose identifiers are kept.
	maxCarried = 32
	// maxPeek is the number of bytes after an answer that are looked at.
	maxPeek = 64
)

// conn is a connection to an endpoint, used by one attempt at a time. Its own goroutine reads it, also while it is idle, so that a connection which the
// endpoint closes or on which it sends bytes that belong to no request is not used again.
type conn struct {
	net.Conn
	client *Client
	at     netip.AddrPort
	// idleSince is when the connection was last put back; carried holds the hashes of the last identifiers for which it was used, in a ring, lastID the last one, and
	// uses their number. The lock of the pools guards them.
	idleSince time.Time
	carried   [maxCarried]uint64
	lastID    string
	uses      int

	mu sync.Mutex
	// current is the attempt in progress, nil while the connection is idle; closed is set once no attempt may begin.
	current *attempt
	closed  bool
	// written receives the result of writing a large request beside the reading of its answer, nil for other requests.
	written chan error

	// The other fields belong to the reading goroutine.
	reader *kctanswer.Reader
	// raw is nil for a connection without a file descriptor.
	raw syscall.RawConn
	// next is what makes the connection available again, nil once that is done.
	next *turn
	// step is readStep; buffer, n and err are its arguments and results.
	step        func(fd uintptr) bool
	buffer      []byte
	n           int
	err         error
	idleTimeout time.Duration
}

// turn is the end of one attempt on a connection, or the beginning of the first one.
type turn struct {
	first *attempt
	// answered has its outcome reported.
	answered *attempt
	response kctport.Response
}

func newConn(client *Client, at netip.AddrPort, nc net.Conn) *conn {
	c := &conn{Conn: nc, client: client, at: at, idleTimeout: defaultIdleTimeout}
	c.reader = kctanswer.NewReader(readerFunc(c.receive))
	c.step = c.readStep
	if s, ok := nc.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// readerFunc is an io.Reader that calls itself.
type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// carry records the use of the connection for an attempt.
func (c *conn) carry(a *attempt) {
	a.formerID, c.lastID = c.lastID, a.exchange.message.ID
	c.carried[c.uses%maxCarried] = a.hash
	c.uses++
}

// hasCarried reports whether the connection was used for another attempt with the same identifier.
func (c *conn) hasCarried(a *attempt) bool {
	return slices.Contains(c.carried[:min(c.uses, maxCarried)], a.hash)
}

// begin makes an attempt the one in progress and bounds its time; false means that the connection is closed.
func (c *conn) begin(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.SetDeadline(a.options.Deadline.Add(deadlineSlack)) != nil {
		return false
	}
	c.current = a
	a.conn.Store(c)
	return true
}

// endAttempt makes the connection idle, for at most its idle timeout; false means that the connection is closed.
func (c *conn) endAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	return !c.closed && c.SetDeadline(c.client.timer.Now().Add(c.idleTimeout)) == nil
}

// interrupt makes the reading goroutine close the connection, unless another attempt than a is in progress; nil stands for any. Unlike Close it doesn't
// wait for that goroutine, which may be the caller.
func (c *conn) interrupt(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a != nil && c.current != a {
		return
	}
	c.closed = true
	// An error means that the connection is closed.
	_ = c.SetDeadline(time.Unix(1, 0))
}

// writeBeside writes a large request while its answer is read, since an endpoint may answer before it has read the whole body. The body is not copied, as all
// attempts share it.
func (c *conn) writeBeside(head, body []byte) {
	written := make(chan error, 1)
	c.mu.Lock()
	c.written = written
	c.mu.Unlock()
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(body)
		}
		written <- err
	}()
}

// run starts the first attempt and reads answers until the connection can't be used any more.
func (c *conn) run(first *attempt) {
	defer c.end()
	c.next = &turn{first: first}
	for c.serve() {
	}
}

// end closes the connection and reports what has not been reported yet. An endpoint's bytes must not end the process, whatever they make the reading do.
func (c *conn) end() {
	if p := recover(); p != nil {
		klog.ErrorS(nil, "reading an answer panicked", "endpoint", c.at, "panic", p, "stack", string(debug.Stack()))
	}
	c.mu.Lock()
	c.closed = true
	last, written := c.current, c.written
	c.mu.Unlock()
	c.Close()
	if written != nil {
		<-written
	}
	c.client.pools.discard(c)
	if last != nil {
		last.finish(kctport.Response{}, eris.Wrap(kctport.ErrReset, "the answer could not be read"))
	}
	if t := c.next; t != nil && t.first != nil {
		t.first.finish(kctport.Response{}, eris.Wrap(errNotSent, "the connection was closed"))
	} else if t != nil {
		t.answered.finish(t.response, nil)
	}
}

// serve waits for the next answer and reports it; false means that the connection can't be used any more.
func (c *conn) serve() bool {
	err := c.reader.Wait()
	c.mu.Lock()
	a := c.current
	c.mu.Unlock()
	if a == nil {
		if err == nil {
			c.recordStray()
		}
		// The endpoint closed the idle connection, sent bytes that belong to no request, or the connection was idle for too long.
		return false
	}
	if err != nil {
		a.finish(kctport.Response{}, classifyError(a.exchange.ctx, true, err))
		return false
	}
	response, keep, err := c.readAnswer(a)
	if err != nil || !keep || !c.endWrite() {
		a.finish(response, err)
		return false
	}
	c.next = &turn{answered: a, response: response}
	return c.endAttempt()
}

// recordStray records bytes on the idle connection, unless they only announce its end.
func (c *conn) recordStray() {
	if !kctanswer.IsTimeoutNotice(c.reader.Peek()) {
		c.client.pools.recordCopy(c, func(n *Counts) { n.Strays++ })
	}
}

// endWrite reports whether the whole request has been written; the endpoint would parse the rest of a body as the next request.
func (c *conn) endWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// receive reads available bytes or waits for them. Before it waits for the next answer it makes the connection available; what arrives after that ends
// the wait, so that no system call is needed to find out that nothing has arrived yet.
func (c *conn) receive(b []byte) (int, error) {
	if c.raw == nil {
		c.makeAvailable()
		return c.Conn.Read(b)
	}
	c.buffer = b
	if err := c.raw.Read(c.step); err != nil {
		return 0, err
	}
	return c.n, c.err
}

// makeAvailable takes the next turn, and reports whether there was one.
func (c *conn) makeAvailable() bool {
	t := c.next
	if t == nil {
		return false
	}
	c.next = nil
	if t.first != nil {
		t.first.start(c)
		return true
	}
	c.client.pools.put(c, true)
	t.answered.finish(t.response, nil)
	return true
}

// readStep makes one read system call; false means that the connection has no bytes and is waited for.
func (c *conn) readStep(fd uintptr) bool {
	if c.makeAvailable() {
		return false
	}
	for {
		n, err := syscall.Read(int(fd), c.buffer)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			c.n, c.err = 0, err
		case n == 0:
			c.n, c.err = 0, io.EOF
		default:
			c.n, c.err = n, nil
		}
		return true
	}
}

// readAnswer skips interim answers and second answers to earlier requests, and returns the answer to the attempt's request; the bool reports whether the
// connection can be reused. What may be bytes of two answers is dropped.
func (c *conn) readAnswer(a *attempt) (kctport.Response, bool, error) {
	message := a.exchange.message
	known := kctanswer.Context{ID: message.ID, FormerID: a.formerID, Suspected: c.client.pools.isSuspected(c.at)}
	for skipped := 0; ; {
		answer, err := c.reader.Next(message.Method, &c.client.bodies, maxBody)
		if err != nil {
			return kctport.Response{}, false, c.readError(a, err)
		}
		if reason := answer.HeadAmbiguity(known); reason != "" {
			return c.ambiguous(reason)
		}
		if answer.Interim() {
			continue
		}
		response, id := c.client.dialect.Response(answer.Status, kctport.Header(answer.Header))
		c.recordIdleTimeout(answer.Header)
		switch {
		case id == message.ID || acceptWithoutID(a, answer, id, &response):
			if response.NotRun && answer.HoldsStatusLine(message.ID) {
				return c.ambiguous("a refusal with a status line within its head")
			}
			reason, clean := c.reader.EndAmbiguity(answer, known, c)
			if reason != "" {
				return c.ambiguous(reason)
			}
			response.Body = answer.Body
			return response, clean && !answer.Close, nil
		case !answer.IsWhole():
			return c.ambiguous("an answer to another request that may hold a part of this one's")
		case answer.Close || skipped == maxStaleAnswers:
			return c.ambiguous("answers to other requests only")
		}
		// This is a second answer to an earlier request; the answer to this request follows.
		skipped++
		c.client.pools.recordCopy(c, func(n *Counts) { n.Skipped++ })
	}
}

// ambiguous returns the outcome of an attempt whose answer may be of another request, or hold bytes of one that is.
func (c *conn) ambiguous(reason string) (kctport.Response, bool, error) {
	c.client.pools.recordDropped(c)
	return kctport.Response{}, false, c.dropped(kctport.ErrMismatch, reason)
}

// Peek returns the next bytes that have arrived and are not read yet.
func (c *conn) Peek() []byte {
	b := make([]byte, maxPeek)
	n := 0
	if c.raw != nil {
		// An error means that the connection is closed.
		_ = c.raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
	}
	return b[:max(0, n)]
}

// WaitForMore waits for bytes that follow an answer, and reports whether they have come.
func (c *conn) WaitForMore(wait time.Duration) bool {
	c.mu.Lock()
	isOpen := !c.closed && c.SetReadDeadline(c.client.timer.Now().Add(wait)) == nil
	c.mu.Unlock()
	return isOpen && c.reader.Wait() == nil
}

// readError classifies an error of reading an answer.
func (c *conn) readError(a *attempt, err error) error {
	switch {
	case errors.Is(err, kctport.ErrMismatch):
		return c.dropped(err, "not an answer that can be passed on")
	case isMalformed(err):
		if c.reader.BeginsAnew() {
			c.client.pools.recordDropped(c)
		}
		return c.dropped(errors.Join(kctport.ErrReset, kctport.ErrMismatch), kctbody.ErrorText(err))
	}
	return classifyError(a.exchange.ctx, true, err)
}

// maxExcerpt is the largest part of an answer in bytes that an error quotes.
const maxExcerpt = 160

// dropped returns the error of an answer that is not passed on, with the connection and the beginning of the last head.
func (c *conn) dropped(kind error, reason string) error {
	head := c.reader.Head()
	return eris.Wrapf(kind, "%s; answer %d on connection %s to %s begins %.*q", reason, c.reader.Answers(), c.LocalAddr(), c.at, maxExcerpt, head)
}

// acceptWithoutID reports whether an answer without an identifier is a refusal that can be accepted as the answer to this request: it is the
// connection's first answer, which can't be stale, or the request is idempotent, which may be repeated even if it ran.
func acceptWithoutID(a *attempt, answer *kctanswer.Answer, id string, r *kctport.Response) bool {
	return id == "" && r.NotRun && (answer.First || !a.options.NonIdempotent)
}

// nothingReceived reports whether the connection was neither sent data nor closed by the endpoint while it was idle.
func (c *conn) nothingReceived() bool {
	if c.raw == nil {
		return true
	}
	nothingReceived := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingReceived = err == syscall.EAGAIN
	})
	return err == nil && nothingReceived
}

// recordIdleTimeout records the endpoint's idle timeout from an answer's Keep-Alive header, if it has one.
func (c *conn) recordIdleTimeout(h http.Header) {
	value := h.Get("Keep-Alive")
	for value != "" {
		var field string
		field, value, _ = strings.Cut(value, ",")
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(number); err == nil {
			c.idleTimeout = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}
