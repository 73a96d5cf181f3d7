package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world holds everything that one case plays with.
type world struct {
	root, dir, program string
	// host is the loopback address of this run, so that the ports of runs at the same time don't meet.
	host string
	// port is the last one that was given to an entry.
	port    int
	begun   time.Time
	store   *store
	servers []*server
	entries []*entry

	mu       sync.Mutex
	out      *bufio.Writer
	file     *os.File
	runs     []*arrival
	requests map[string]*request
	order    []*request
	// crashes are the times at which a request crashed a server.
	crashes []time.Time
}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

func newWorld(root, program, recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "kctreview2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	if program == "" {
		program = filepath.Join(root, "target", "kingcupturn")
	}
	w := &world{root: root, dir: dir, program: program, port: firstPort, host: fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()/250%200, 1+os.Getpid()%250), begun: time.Now(), file: file, out: bufio.NewWriter(file), requests: map[string]*request{}}
	if w.store, err = newStore(w.host); err != nil {
		return nil, err
	}
	w.store.onStatus = func(key, value string) { go w.record("store: %s = %s", key, value) }
	return w, nil
}

// record writes a line to the record, with the time since the beginning in seconds.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	fmt.Printf("%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
	w.record(format, args...)
}

func (w *world) arrived(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, a)
	fmt.Fprintf(w.out, "%8.3f  %s reaches %s\n", a.at.Sub(w.begun).Seconds(), a.id, a.server.id)
}

func (w *world) executed(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.executed = true
	fmt.Fprintf(w.out, "%8.3f  %s runs at %s\n", time.Since(w.begun).Seconds(), a.id, a.server.id)
}

func (w *world) finished(a *arrival, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.status = status
	fmt.Fprintf(w.out, "%8.3f  %s answers %s with %d\n", time.Since(w.begun).Seconds(), a.server.id, a.id, status)
}

// restartTime is how long a server that crashed is down.
const restartTime = 2 * time.Second

// coldCrash crashes a cold server that got more than it bears, and starts it again.
func (w *world) coldCrash(s *server) {
	w.say("cold server %s crashes: more than %d requests in a second", s.id, s.coldCrash)
	s.end()
	time.Sleep(restartTime)
	if err := s.start(true); err != nil {
		w.say("server %s can't start again: %v", s.id, err)
	}
}

// crash crashes a server and starts it again.
func (w *world) crash(s *server) {
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	w.say("a request crashes %s", s.id)
	s.end()
	time.Sleep(crashDown)
	if err := s.start(true); err != nil {
		w.say("server %s can't start again: %v", s.id, err)
	}
}

// add starts a server.
func (w *world) add(s *server) error {
	s.world = w
	w.servers = append(w.servers, s)
	return s.start(false)
}

// startEntries starts entries and waits until all are ready.
func (w *world) startEntries(zones ...string) error {
	count := map[string]int{}
	for _, zone := range zones {
		count[zone]++
		e, err := newEntry(w, count[zone], zone)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return w.waitReady(15 * time.Second)
}

func (w *world) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errSetup, e.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the case started, and completes the record.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	_ = w.store.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// story is what has happened until now, for the judgement of a rule.
type story struct {
	runs []arrival
	// requests holds the requests by identifier, order those in the order in which they were sent.
	requests map[string]request
	order    []request
}

func (w *world) story() story {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := story{requests: map[string]request{}}
	for _, a := range w.runs {
		t.runs = append(t.runs, *a)
	}
	for _, q := range w.order {
		t.order = append(t.order, *q)
		t.requests[q.id] = *q
	}
	return t
}

// sentAt returns when the client sent the request of an arrival.
func (t story) sentAt(a arrival) time.Time {
	if q, ok := t.requests[a.id]; ok {
		return q.sent
	}
	return a.at
}
