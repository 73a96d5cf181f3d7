package kctegress_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctegress"
	"kingcupturn/io/kcttimer"
)

// TestLateCopyOfAnswer guards against a second copy of an answer, sent late on a connection that is in use again, which is returned to the next caller.
func TestLateCopyOfAnswer(t *testing.T) {
	former := ""
	endpoint := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		own := r.Header.Get("Id")
		if former != "" {
			answer(c, former, former)
			time.Sleep(20 * time.Millisecond)
		}
		former = own
		answer(c, own, own)
		return true
	})
	k := client(t)
	for _, id := range []string{"1", "2", "3"} {
		if r, err := exchange(k, endpoint, id, ""); err != nil || string(r.Body) != id {
			t.Errorf("request %s got %q, %v", id, r.Body, err)
		}
	}
	if n := k.Counts().Opened; n != 1 {
		t.Errorf("%d connections, want 1: the copies must arrive on a connection in use", n)
	}
}

// TestCancelledAttempts guards against attempts that go on at an endpoint after their caller has left, and against waiting ones that are sent after that.
func TestCancelledAttempts(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan error, 1)
	endpoint := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		close(arrived)
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	k := client(t)
	ctx, cancel := context.WithCancel(context.Background())
	m := &kctport.Message{ID: "1", Method: "GET", Target: "/", Host: "h"}
	ended := make(chan error, 2)
	x := k.Open(ctx, m)
	o := kctport.ExchangeOptions{Deadline: time.Now().Add(10 * time.Second), Connections: 1}
	for range 2 {
		x.Send(endpoint, o, func(_ kctport.Response, err error) { ended <- err })
	}
	<-arrived
	cancel()
	notRun := 0
	for range 2 {
		select {
		case err := <-ended:
			if errors.Is(err, kctport.ErrNotRun) {
				notRun++
			} else if !errors.Is(err, context.Canceled) {
				t.Errorf("error %v, want context.Canceled", err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("an attempt goes on after its context was cancelled")
		}
	}
	if notRun != 1 {
		t.Errorf("%d attempts say that they have not run, want the one that waited for the connection", notRun)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still has the connection")
	}
}

// TestStoppedClient guards against attempts that wait forever for a connection of a client that has stopped, and against connections that outlive it.
func TestStoppedClient(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	endpoint := serve(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		<-release
		return false
	})
	defer close(release)
	ctx, stop := context.WithCancel(context.Background())
	k := kctegress.New(kcttimer.New(), dialect{})
	done := k.Run(ctx)
	ended := make(chan error, 3)
	o := kctport.ExchangeOptions{Deadline: time.Now().Add(20 * time.Second), Connections: 1}
	x := k.Open(context.Background(), &kctport.Message{ID: "1", Method: "GET", Target: "/", Host: "h"})
	for range 2 {
		x.Send(endpoint, o, func(_ kctport.Response, err error) { ended <- err })
	}
	<-arrived
	stop()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the client does not stop while a request is in progress")
	}
	x.Send(endpoint, o, func(_ kctport.Response, err error) { ended <- err })
	for range 3 {
		select {
		case err := <-ended:
			if err == nil {
				t.Error("an attempt of a stopped client succeeded")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("an attempt has no outcome after the client stopped")
		}
	}
}

// panickyDialect panics on an answer with a certain header.
type panickyDialect struct{ dialect }

func (d panickyDialect) Response(status int, h kctport.Header) (kctport.Response, string) {
	if http.Header(h).Get("Panic") != "" {
		panic("odd header")
	}
	return d.dialect.Response(status, h)
}

// TestAnswerThatPanics guards against an endpoint's answer that ends the whole process by an error that nobody expected.
func TestAnswerThatPanics(t *testing.T) {
	endpoint := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Id") == "1" {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nPanic: yes\r\nContent-Length: 0\r\n\r\n"))
			return err == nil
		}
		answer(c, r.Header.Get("Id"), "right")
		return true
	})
	ctx, stop := context.WithCancel(context.Background())
	k := kctegress.New(kcttimer.New(), panickyDialect{})
	done := k.Run(ctx)
	defer func() {
		stop()
		<-done
	}()
	if _, err := exchange(k, endpoint, "1", ""); !errors.Is(err, kctport.ErrReset) || errors.Is(err, kctport.ErrNotRun) {
		t.Errorf("error %v, want one that leaves open whether the request ran", err)
	}
	if r, err := exchange(k, endpoint, "2", ""); err != nil || string(r.Body) != "right" {
		t.Errorf("after that: %q, %v", r.Body, err)
	}
}
