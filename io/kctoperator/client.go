package kctoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

// maxReplySize bounds a reply in bytes; the stored configuration is at most 1 MB.
const maxReplySize = 4 << 20

// request calls an entry once and returns the body of the reply. The error wraps ErrNotRun
// when the entry provably did nothing, ErrInvalid when it refused the input, and ErrUnknown otherwise.
func (t *cli) request(ctx context.Context, entry netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.http.Do(request)
	if err != nil {
		return nil, transportError(entry, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnknown, "entry %s: read reply: %v", entry, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(entry, response.StatusCode, data)
	}
	return data, nil
}

// transportError wraps ErrNotRun after a failed connect, when nothing was sent, and ErrUnknown after a lost reply.
func transportError(entry netip.AddrPort, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(kctport.ErrNotRun, "entry %s: %v", entry, err)
	}
	return eris.Wrapf(kctport.ErrUnknown, "entry %s: %v", entry, err)
}

// statusError returns the error for a reply with a status other than 200.
func statusError(entry netip.AddrPort, status int, data []byte) error {
	var body struct {
		Message string `json:"message"`
		Ran     string `json:"ran"`
	}
	// A body that isn't JSON leaves the fields empty, so the outcome is unknown.
	_ = json.Unmarshal(data, &body)
	sentinel := kctport.ErrUnknown
	switch {
	// An entry validates the input before it applies anything.
	case status == http.StatusBadRequest:
		sentinel = kctport.ErrInvalid
	case body.Ran == "no":
		sentinel = kctport.ErrNotRun
	}
	return eris.Wrapf(sentinel, "entry %s: status %d: %s", entry, status, body.Message)
}

// config returns the configuration in force at the first entry that answers, or ErrUnavailable.
func (t *cli) config(ctx context.Context) (kctport.Config, error) {
	var failures []error
	for _, e := range t.entries {
		data, err := t.request(ctx, e, http.MethodGet, "/v1/config", nil)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		return kctcodec.DecodeConfig(data)
	}
	return kctport.Config{}, eris.Wrapf(kctport.ErrUnavailable, "no entry answered: %v", errors.Join(failures...))
}
