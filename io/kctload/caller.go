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
	// keyBatch is the number of idempotency keys per fetch.
	keyBatch = 16
	// answerLimit is the number of bytes read of one answer at most.
	answerLimit = 16 << 20
	// fetchTimeout applies to a connection attempt and to a refresh of the address list.
	fetchTimeout = 2 * time.Second
)

// caller caches the address list for its time to live and sends requests to addresses of the list.
type caller struct {
	client       *http.Client
	timer        kctport.Timer
	seeds        []netip.AddrPort
	networkDelay time.Duration

	mu              sync.Mutex
	random          *rand.Rand
	addresses       []netip.AddrPort
	addressesExpire time.Time
	keys            []string
	keysExpire      time.Time
}

func newCaller(p Plan, index int) *caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: fetchTimeout}).DialContext,
	}
	return &caller{
		client: &http.Client{Transport: transport}, timer: p.Timer, seeds: p.Entries, networkDelay: p.Workload.CallerDelay,
		random: rand.New(rand.NewPCG(p.Seed, uint64(index)|1<<32)),
	}
}

// chooseAddress returns a random address of the list that was not tried, and refreshes an expired list first; it returns ErrUnavailable if there is none.
func (c *caller) chooseAddress(ctx context.Context, tried []netip.AddrPort) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || !c.timer.Now().Before(c.addressesExpire) {
		c.refreshAddresses(ctx)
	}
	left := slices.DeleteFunc(slices.Clone(c.addresses), func(a netip.AddrPort) bool { return slices.Contains(tried, a) })
	if len(left) == 0 {
		return netip.AddrPort{}, eris.Wrap(kctport.ErrUnavailable, "no address left to try")
	}
	return left[c.random.IntN(len(left))], nil
}

// refreshAddresses fetches the list from the known addresses and the seeds in random order; it keeps the old list if none answers.
func (c *caller) refreshAddresses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	candidates := append(slices.Clone(c.addresses), c.seeds...)
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, a := range candidates {
		var m addressesMessage
		if _, err := c.exchange(ctx, http.MethodGet, a, "/v1/addresses", nil, &m); err == nil && len(m.Addresses) > 0 {
			c.addresses, c.addressesExpire = m.Addresses, c.timer.Now().Add(time.Duration(m.TTL))
			return
		}
	}
}

// key returns a cached idempotency key and fetches a batch if there is none; it returns ErrUnavailable after 3 failed fetches.
func (c *caller) key(ctx context.Context) (string, error) {
	for range 3 {
		if k, ok := c.takeKey(); ok {
			return k, nil
		}
		a, err := c.chooseAddress(ctx, nil)
		if err != nil {
			return "", err
		}
		var m keysMessage
		if _, err := c.exchange(ctx, http.MethodPost, a, "/v1/keys", countMessage{Count: keyBatch}, &m); err != nil {
			continue
		}
		c.mu.Lock()
		c.keys, c.keysExpire = append(c.keys, m.Keys...), c.timer.Now().Add(time.Duration(m.TTL))
		c.mu.Unlock()
	}
	return "", eris.Wrap(kctport.ErrUnavailable, "no idempotency keys after 3 attempts")
}

// takeKey removes a key from the cache and drops expired keys.
func (c *caller) takeKey() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.timer.Now().Before(c.keysExpire) {
		c.keys = nil
	}
	if len(c.keys) == 0 {
		return "", false
	}
	k := c.keys[0]
	c.keys = c.keys[1:]
	return k, true
}

// exchange sends one message and decodes the reply into out on status 200, otherwise into the error message that it returns.
// The error wraps ErrNotRun if no connection could be made, ErrUnknown if the connection broke,
// ErrMismatch if the reply can't be decoded and ErrFailed on another status.
func (c *caller) exchange(ctx context.Context, method string, to netip.AddrPort, path string, in, out any) (errorMessage, error) {
	var failure errorMessage
	// Without an idempotency header net/http retries a POST only if none of it was written.
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
		return failure, eris.Wrapf(kctport.ErrUnknown, "read reply: %v", err)
	}
	if reply.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, out); err != nil {
			return failure, eris.Wrapf(kctport.ErrMismatch, "decode reply: %v", err)
		}
		return failure, nil
	}
	if err := json.Unmarshal(raw, &failure); err != nil {
		return failure, eris.Wrapf(kctport.ErrMismatch, "decode error reply with status %d: %v", reply.StatusCode, err)
	}
	return failure, eris.Wrapf(kctport.ErrFailed, "status %d, code %s: %s", reply.StatusCode, failure.Code, failure.Message)
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		request, err := http.NewRequestWithContext(ctx, method, url, nil)
		return request, eris.Wrap(err, "create request")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
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

// sleepNetworkDelay waits for the one-way network delay between caller and entry.
func (c *caller) sleepNetworkDelay(ctx context.Context) {
	if c.networkDelay <= 0 {
		return
	}
	select {
	case <-c.timer.After(ctx, c.networkDelay):
	case <-ctx.Done():
	}
}
