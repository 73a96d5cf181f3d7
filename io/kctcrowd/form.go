package kctcrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// pieceSize is the size in bytes of the pieces of a body, piecePause the pause after each.
	pieceSize  = 4 << 10
	piecePause = time.Millisecond
	// blockSize is about the number of bytes that are written at a time.
	blockSize = 16 << 10
	// receiveBuffer is the size in bytes of the receive buffer of a client that reads nothing, and unreadRequests the number of its requests.
	receiveBuffer  = 4 << 10
	unreadRequests = 8
)

// Request returns the head of client n's request, without the empty line at its end.
type Request func(method string, n int) string

// Silence sends nothing.
func Silence(net.Conn, int, bool) error { return nil }

// WholeBodies sends requests with bodies of a size in bytes one after the other, without waiting for answers.
func WholeBodies(request Request, size int) Form {
	return Bodies(request, strings.Repeat("x", size))
}

// Bodies sends requests with the same body one after the other, without waiting for answers.
func Bodies(request Request, body string) Form {
	send := wholeBody(request, body)
	return func(c net.Conn, n int, _ bool) error {
		for {
			if err := send(c, n); err != nil {
				return err
			}
		}
	}
}

// wholeBody returns a function that sends a request; all clients share the bytes of its body.
func wholeBody(request Request, body string) func(c net.Conn, n int) error {
	shared := []byte(body)
	return func(c net.Conn, n int) error {
		if _, err := io.WriteString(c, withLength(request, n, len(shared))); err != nil {
			return err
		}
		_, err := c.Write(shared)
		return err
	}
}

// WholeBodyAndLeave sends a request with a body of a size in bytes and closes the connection.
func WholeBodyAndLeave(request Request, size int) Form {
	send := wholeBody(request, strings.Repeat("x", size))
	return func(c net.Conn, n int, _ bool) error {
		if err := send(c, n); err != nil {
			return err
		}
		return c.Close()
	}
}

func withLength(request Request, n, size int) string {
	return request("POST", n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
}

func chunked(request Request, n int) string {
	return request("POST", n) + "Transfer-Encoding: chunked\r\n\r\n"
}

// Pieces sends a body of a size in bytes in pieces; all but the whole ones stop one byte short of its end.
func Pieces(request Request, size int) Form {
	piece := bytes.Repeat([]byte("x"), pieceSize)
	return func(c net.Conn, n int, whole bool) error {
		if _, err := io.WriteString(c, withLength(request, n, size)); err != nil {
			return err
		}
		left := size
		if !whole {
			left--
		}
		for ; left > 0; left -= pieceSize {
			if _, err := c.Write(piece[:min(left, pieceSize)]); err != nil {
				return err
			}
			time.Sleep(piecePause)
		}
		return nil
	}
}

// Chunks sends a body of a size in bytes in chunks; all but the whole ones leave out the last chunk, which ends the body.
func Chunks(request Request, size, chunkSize int) Form {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
	together := max(1, blockSize/len(chunk))
	block := bytes.Repeat(chunk, together)
	return func(c net.Conn, n int, whole bool) error {
		if _, err := io.WriteString(c, chunked(request, n)); err != nil {
			return err
		}
		for left := size / chunkSize; left > 0; left -= together {
			if _, err := c.Write(block[:len(chunk)*min(left, together)]); err != nil {
				return err
			}
		}
		if !whole {
			return nil
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
}

// repeat writes a beginning and then a piece again and again, until the connection ends.
func repeat(begin func(n int) string, piece string) Form {
	block := []byte(strings.Repeat(piece, blockSize/len(piece)))
	return func(c net.Conn, n int, _ bool) error {
		_, err := io.WriteString(c, begin(n))
		for err == nil {
			_, err = c.Write(block)
		}
		return err
	}
}

// ChunkExtension sends a chunk size with an extension that doesn't end.
func ChunkExtension(request Request) Form {
	return repeat(func(n int) string { return chunked(request, n) + "1;" }, "x")
}

// Trailers sends trailers that don't end.
func Trailers(request Request) Form {
	return repeat(func(n int) string { return chunked(request, n) + "1\r\nx\r\n0\r\n" }, "X: y\r\n")
}

// LongLine sends a head with a line that doesn't end.
func LongLine(request Request) Form {
	return repeat(func(n int) string { return request("GET", n) + "X: " }, "x")
}

// EmptyLines sends empty lines before a request that never comes.
func EmptyLines() Form {
	return repeat(func(int) string { return "" }, "\r\n")
}

// EmptyLinesLater sends a request and then empty lines before a second one that never comes.
func EmptyLinesLater(request Request) Form {
	return repeat(func(n int) string { return withLength(request, n, 0) }, "\r\n")
}

// ShortLines sends a head of a size in bytes that consists of many short lines with different names, and stops before the empty line at its end.
func ShortLines(request Request, size int) Form {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		lines.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return func(c net.Conn, n int, _ bool) error {
		head := request("GET", n)
		fit := lines.String()[:size-len(head)]
		_, err := io.WriteString(c, head+fit[:strings.LastIndex(fit, "\n")+1])
		return err
	}
}

// Unread sends several requests, whose answers it does not read; it is for a Crowd WithoutReading.
func Unread(request Request) Form {
	return func(c net.Conn, n int, _ bool) error {
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetReadBuffer(receiveBuffer); err != nil {
				return err
			}
		}
		_, err := io.WriteString(c, strings.Repeat(request("GET", n)+"\r\n", unreadRequests))
		return err
	}
}

// PartialMessage sends a message between entries but for its last byte, on a yamux stream; it is for a Crowd WithoutReading.
func PartialMessage(size int) Form {
	message := append(protowire.AppendVarint(nil, uint64(size)), make([]byte, size-1)...)
	return func(c net.Conn, _ int, _ bool) error {
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(c, config)
		if err != nil {
			return err
		}
		defer session.Close()
		stream, err := session.Open()
		if err != nil {
			return err
		}
		if _, err := stream.Write(message); err != nil {
			return err
		}
		<-session.CloseChan()
		return net.ErrClosed
	}
}
