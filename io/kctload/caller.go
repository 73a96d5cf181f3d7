package kctload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	kctport "kingcupturn"

	"github.com/rotisserie/eris"
)

const (
	// keyBatch is the number of keys a caller fetches at once.
	keyBatch = 16
	// answerLimit bounds the bytes read of one answer.
	answerLimit = 16 << 20
	// fetchTimeout bounds a fetch of addresses or keys.
	fetchTimeout = 2 * time.Second
)

// caller keeps an address list for its time to live and sends requests to addresses of the list.
type caller struct {
	client *http.Client
	timer  kctport.Timer
	seeds  []netip.AddrPort
	delay  time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	addresses []netip.AddrPort
	expires   time.Time
	keys      []string
	keysEnd   time.Time
}

func newCaller(p Plan, index int) *caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: fetchTimeout}).DialContext,
	}
	return &caller{
		client: &http.Client{Transport: transport}, timer: p.Timer, seeds: p.Entries, delay: p.Workload.CallerDelay,
		random: rand.New(rand.NewPCG(p.Seed, uint64(index)|1<<32)),
	}
}

// address chooses an address of the list, without those already tried, and renews the list when its time to live is over.
func (c *caller) address(ctx context.Context, tried []netip.AddrPort) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || !c.timer.Now().Before(c.expires) {
		c.renew(ctx)
	}
	left := slices.DeleteFunc(slices.Clone(c.addresses), func(a netip.AddrPort) bool { return slices.Contains(tried, a) })
	if len(left) == 0 {
		return netip.AddrPort{}, eris.Wrap(kctport.ErrUnavailable, "no address left to try")
	}
	return left[c.random.IntN(len(left))], nil
}

// renew asks the addresses it has, then the seeds; it keeps the old list when none answers.
func (c *caller) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	candidates := append(slices.Clone(c.addresses), c.seeds...)
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, a := range candidates {
		var m addressesMessage
		if _, err := c.exchange(ctx, http.MethodGet, a, "/v1/addresses", nil, &m); err == nil && len(m.Addresses) > 0 {
			c.addresses, c.expires = m.Addresses, c.timer.Now().Add(time.Duration(m.TTL))
			return
		}
	}
}

// key takes a key from the stock or fetches a batch.
func (c *caller) key(ctx context.Context) (string, error) {
	for range 3 {
		if k, ok := c.stocked(); ok {
			return k, nil
		}
		a, err := c.address(ctx, nil)
		if err != nil {
			return "", err
		}
		var m keysMessage
		if _, err := c.exchange(ctx, http.MethodPost, a, "/v1/keys", countMessage{Count: keyBatch}, &m); err != nil {
			continue
		}
		c.mu.Lock()
		c.keys, c.keysEnd = append(c.keys, m.Keys...), c.timer.Now().Add(time.Duration(m.TTL))
		c.mu.Unlock()
	}
	return "", eris.Wrap(kctport.ErrUnavailable, "no keys from 3 addresses")
}

func (c *caller) stocked() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timer.Now().Before(c.keysEnd) {
		c.keys = nil
	}
	if len(c.keys) == 0 {
		return "", false
	}
	k := c.keys[0]
	c.keys = c.keys[1:]
	return k, true
}

// exchange sends one message and decodes the reply: into out on 200, else into the error message that it returns.
// The error wraps ErrNotRun when no connection was made and ErrUnknown when one broke.
func (c *caller) exchange(ctx context.Context, method string, to netip.AddrPort, path string, in, out any) (errorMessage, error) {
	var failure errorMessage
	// Without an idempotency header net/http resends a POST only when nothing of it was written.
	request, err := newRequest(ctx, method, "http://"+to.String()+path, in)
	if err != nil {
		return failure, err
	}
	reply, err := c.client.Do(request)
	if err != nil {
		return failure, transportError(err)
	}
	defer func() { _ = reply.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(reply.Body, answerLimit))
	if err != nil {
		return failure, eris.Wrapf(kctport.ErrUnknown, "read: %v", err)
	}
	if reply.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, out); err != nil {
			return failure, eris.Wrapf(kctport.ErrMismatch, "decode: %v", err)
		}
		return failure, nil
	}
	if err := json.Unmarshal(raw, &failure); err != nil {
		return failure, eris.Wrapf(kctport.ErrMismatch, "decode status %d: %v", reply.StatusCode, err)
	}
	return failure, eris.Wrapf(kctport.ErrFailed, "status %d, code %s: %s", reply.StatusCode, failure.Code, failure.Message)
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		request, err := http.NewRequestWithContext(ctx, method, url, nil)
		return request, eris.Wrap(err, "request")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(kctport.ErrNotRun, "%v", err)
	}
	return eris.Wrapf(kctport.ErrUnknown, "%v", err)
}

// wait sleeps for the one-way network delay of the caller.
func (c *caller) wait(ctx context.Context) {
	if c.delay <= 0 {
		return
	}
	select {
	case <-c.timer.After(ctx, c.delay):
	case <-ctx.Done():
	}
}
