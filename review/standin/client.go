package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// client sends requests to entries and checks the answers.
type client struct {
	d    *deployment
	http *http.Client
}

func (d *deployment) newClient() *client {
	return &client{d, &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	err    error
	stamp  string
	// kept is set when the request was sent on a connection that had carried another one.
	kept bool
	// wrong says why a success is not the answer to the request, empty for a good one.
	wrong string
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends a request to an entry. With services it is a query over these shards, of which the top records are checked.
func (c *client) send(e *entry, method, host, path string, body []byte, deadline time.Duration, services []string, top int) answer {
	a := answer{id: newID(), sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+e.address("caller")+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if len(body) == 0 {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Host = host
	r.Header.Set("Kingcupturn-Attempt-Id", a.id)
	r.Header.Set("Kingcupturn-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.d.record.add("request %s %s %s%s with %d bytes sent to %s", a.id, method, host, path, len(body), e.name)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	h := *c.http
	h.Timeout = deadline
	response, err := h.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			a.status, a.stamp = response.StatusCode, response.Header.Get("Kingcupturn-Server-Stamp")
			if a.status >= 200 && a.status < 300 {
				a.wrong = c.check(a.id, response.Header, data, services, top)
			}
		}
	}
	a.err, a.took = err, time.Since(a.sent)
	detail := ""
	if err != nil {
		detail = " " + err.Error()
	}
	if a.wrong != "" {
		detail += " WRONG: " + a.wrong
	}
	c.d.record.add("answer to %s from %s after %.1f ms: %d%s", a.id, e.name, float64(a.took.Microseconds())/1000, a.status, detail)
	return a
}

// check returns why a success is not a good answer to the request.
func (c *client) check(id string, h http.Header, body []byte, services []string, top int) string {
	if len(services) == 0 {
		st, ok := c.d.stamps.get(h.Get("Kingcupturn-Server-Stamp"))
		if !ok || st.id != id || st.status != http.StatusOK || !bytes.Equal(st.body, body) {
			return "not the answer of a server to this request"
		}
		return ""
	}
	var records []string
	seen := map[string]bool{}
	names := strings.Split(strings.Join(h.Values("Kingcupturn-Part-Stamps"), ","), ",")
	for _, name := range names {
		st, ok := c.d.stamps.get(strings.TrimSpace(name))
		if !ok || st.id != id || st.status != http.StatusOK || seen[st.service] || !slices.Contains(services, st.service) {
			return "a part that is not an answer to this request"
		}
		seen[st.service] = true
		for b := st.body; len(b) >= 16; b = b[16:] {
			records = append(records, string(b[:16]))
		}
	}
	missing, _ := strconv.Atoi(h.Get("Kingcupturn-Missing-Parts"))
	if len(names)+missing != len(services) {
		return "parts and missing ones are not the set"
	}
	slices.Sort(records)
	slices.Reverse(records)
	if strings.Join(records[:min(top, len(records))], "") != string(body) {
		return "not the greatest records of the parts"
	}
	return ""
}

// waitReady waits until the entry is ready.
func (e *entry) waitReady(limit time.Duration) bool {
	h := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := h.Get("http://" + e.address("ready") + "/v1/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
