package kctquery

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	kctport "kingcupturn"
)

// Fingerprint returns the hash of a request's services, route and body.
func Fingerprint(services []kctport.ServiceName, route string, body []byte) kctport.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range services {
		_, _ = d.WriteString(string(s))
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(route)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return kctport.Fingerprint(d.Sum64())
}

// generationSize is the number of fingerprints per generation, about 1 MB each.
const generationSize = 1 << 16

// passedCanaries holds the fingerprints of requests whose canary succeeded; when the current generation is full, it
// replaces the previous one.
type passedCanaries struct {
	mu                sync.Mutex
	current, previous map[kctport.Fingerprint]struct{}
}

func newPassedCanaries() *passedCanaries {
	return &passedCanaries{current: make(map[kctport.Fingerprint]struct{})}
}

func (c *passedCanaries) has(f kctport.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.current[f]; ok {
		return true
	}
	_, ok := c.previous[f]
	return ok
}

func (c *passedCanaries) add(f kctport.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.current) >= generationSize {
		c.previous, c.current = c.current, make(map[kctport.Fingerprint]struct{})
	}
	c.current[f] = struct{}{}
}
