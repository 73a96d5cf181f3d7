package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	path     string
	sent     time.Time
	answered time.Time
	// status is that of the answer, 0 without one.
	status int
	via    string
	header http.Header
	body   string
	err    string
}

// clients send requests at a rate, each over one of some connections to an entry that the directory names.
type clients struct {
	world    *world
	host     string
	path     string
	method   string
	body     string
	deadline time.Duration
	// zone is where the clients are; empty for a random one each time.
	zone string

	mu    sync.Mutex
	known []string
	next  int
	http  map[string]*http.Client
	busy  sync.WaitGroup
}

const (
	clientsPerEntry = 16
	resolveEach     = 2 * time.Second
)

// resolve keeps the addresses of the entries up to date until the context ends.
func (c *clients) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		c.lookUp()
		select {
		case <-ctx.Done():
		case <-time.After(resolveEach):
		}
	}
}

func (c *clients) lookUp() {
	hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	entries := slices.Clone(c.world.entries)
	slices.SortStableFunc(entries, func(a, b *entry) int {
		if (a.zone == c.zone) != (b.zone == c.zone) {
			if a.zone == c.zone {
				return -1
			}
			return 1
		}
		return 0
	})
	for _, e := range entries[:min(3, len(entries))] {
		r, err := hc.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=dalmacija&zone=%s", e.directory, c.host, c.zone))
		if err != nil {
			continue
		}
		var found struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(r.Body).Decode(&found)
		r.Body.Close()
		if err != nil || len(found.Addrs) == 0 {
			continue
		}
		c.mu.Lock()
		c.known = found.Addrs
		c.mu.Unlock()
		return
	}
}

// start sends requests at a rate until the context ends.
func (c *clients) start(ctx context.Context, perSecond float64) {
	c.lookUp()
	go c.resolve(ctx)
	c.busy.Add(1)
	go func() {
		defer c.busy.Done()
		next := time.Now()
		for ctx.Err() == nil {
			next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			time.Sleep(time.Until(next))
			c.busy.Add(1)
			go func() {
				defer c.busy.Done()
				c.send()
			}()
		}
	}()
}

// wait waits for the answers that are still due.
func (c *clients) wait() { c.busy.Wait() }

func (c *clients) pick() (string, *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) == 0 {
		return "", nil
	}
	at := c.known[rand.IntN(len(c.known))]
	if c.http == nil {
		c.http = map[string]*http.Client{}
	}
	if c.http[at] == nil {
		c.http[at] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientsPerEntry, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	}
	return at, c.http[at]
}

// send sends one request and records what came of it.
func (c *clients) send() *request {
	at, hc := c.pick()
	if hc == nil {
		return nil
	}
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), path: c.path, via: at}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+at+c.path, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody the transport doesn't repeat a request on its own.
	r.GetBody = nil
	r.Host = c.host
	r.Header.Set("Kingcupturn-Attempt-Id", q.id)
	r.Header.Set("Kingcupturn-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	q.sent = time.Now()
	w := c.world
	w.mu.Lock()
	w.requests[q.id] = q
	w.order = append(w.order, q)
	fmt.Fprintf(w.out, "%8.3f  %s sent to %s: %s %s\n", q.sent.Sub(w.begun).Seconds(), q.id, at, c.method, c.path)
	w.mu.Unlock()
	answer, err := hc.Do(r)
	status, text, header, got := 0, "", http.Header{}, ""
	if err == nil {
		data, readErr := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err = readErr; err == nil {
			status, got, header = answer.StatusCode, string(data), answer.Header
		}
	}
	if err != nil {
		text = err.Error()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q.answered, q.status, q.err, q.body, q.header = time.Now(), status, text, got, header
	fmt.Fprintf(w.out, "%8.3f  %s answered with %d %s\n", q.answered.Sub(w.begun).Seconds(), q.id, status, text)
	return q
}
