package kctfake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

// remoteTimeout is the timeout of a call to the platform.
const remoteTimeout = 2 * time.Second

// RemotePlatform registers endpoints with a platform stand-in over HTTP.
type RemotePlatform struct {
	address netip.AddrPort

	mu  sync.Mutex
	err error
}

// NewRemotePlatform returns a registrar for the platform at the address.
func NewRemotePlatform(address netip.AddrPort) *RemotePlatform {
	return &RemotePlatform{address: address}
}

// Register writes the record of an endpoint; Err returns a failure.
func (p *RemotePlatform) Register(id kctport.InstanceID, r kctwire.Registration) {
	p.send(http.MethodPut, id, r)
}

// Remove deletes the record of an endpoint; Err returns a failure.
func (p *RemotePlatform) Remove(id kctport.InstanceID) {
	p.send(http.MethodDelete, id, struct{}{})
}

// Err returns the errors of all calls so far, joined.
func (p *RemotePlatform) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *RemotePlatform) send(method string, id kctport.InstanceID, body any) {
	if err := p.request(method, id, body); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = errors.Join(p.err, eris.Wrapf(err, "%s instance %s", method, id))
	}
}

func (p *RemotePlatform) request(method string, id kctport.InstanceID, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	requestURL := "http://" + p.address.String() + kctwire.PathInstances + "/" + url.PathEscape(string(id))
	r, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("platform replied with status %s", res.Status)
	}
	return nil
}
