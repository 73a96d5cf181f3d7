package kctegress_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	kctport "kingcupturn"
)

// TestStatusLines guards against passing on an answer whose status line is none, such as one with status 000, and against dropping a sound one.
func TestStatusLines(t *testing.T) {
	for line, sound := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200 ": true, "HTTP/1.1 200": true, "HTTP/1.0 200 OK": true, "HTTP/1.1 418 Any  text": true, "HTTP/1.1 599 X": true,
		"HTTP/1.1 000 OK": false, "HTTP/1.1 001 OK": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 600 X": false, "HTTP/1.1 999 X": false,
		"HTTP/1.1  200 OK": false, "HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "HTTP/1.2 200 OK": false,
	} {
		for _, gathered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gathered %v", line, gathered), func(t *testing.T) {
				t.Parallel()
				endpoint := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
					fmt.Fprintf(c, "%s\r\nId: %s\r\nSig: s\r\nContent-Length: 5\r\n\r\nright", line, r.Header.Get("Id"))
					return true
				})
				m := &kctport.Message{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: kctport.Header{"Id": {"1"}}, Deadline: time.Now().Add(2 * time.Second)}
				r, err := send(context.Background(), client(t), endpoint, m, kctport.ExchangeOptions{Deadline: m.Deadline, Connections: 2, Gathered: gathered})
				switch {
				case sound && (err != nil || string(r.Body) != "right"):
					t.Errorf("a sound answer gets %+v, %v", r, err)
				case !sound && (!errors.Is(err, kctport.ErrMismatch) || errors.Is(err, kctport.ErrNotRun)):
					t.Errorf("got %+v, %v; want ErrMismatch", r, err)
				}
			})
		}
	}
}

// TestStatusLineBeforeAnswer guards against a head whose status is none and which is skipped as an interim answer.
func TestStatusLineBeforeAnswer(t *testing.T) {
	endpoint := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprint(c, "HTTP/1.1 000 X\r\n\r\n")
		answer(c, r.Header.Get("Id"), "right")
		return true
	})
	if r, err := exchange(client(t), endpoint, "1", ""); !errors.Is(err, kctport.ErrMismatch) {
		t.Errorf("got %+v, %v; want ErrMismatch", r, err)
	}
}
