package kctreport

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"

	"github.com/rotisserie/eris"
)

const (
	// fetchTimeout is the time limit of one request to an entry.
	fetchTimeout = 5 * time.Second
	// fetchLimit is the maximum number of bytes read from one reply.
	fetchLimit = 64 << 20
	timeFormat = time.RFC3339Nano
)

// archive is the file format of saved samples and the configuration that was read with them.
type archive struct {
	Config  json.RawMessage `json:"config,omitempty"`
	Samples []savedSample   `json:"samples"`
}

// savedSample holds the metrics of one entry at one time in the exposition format.
type savedSample struct {
	At      time.Time      `json:"at"`
	Entry   netip.AddrPort `json:"entry"`
	Metrics string         `json:"metrics"`
}

// collect reads the metrics of each entry once and the configuration from the first entry that returns it. It fails only if no entry returns metrics.
func (a *archive) collect(ctx context.Context, entries []netip.AddrPort, now time.Time) error {
	succeeded := 0
	var lastErr error
	for _, e := range entries {
		raw, err := get(ctx, e, "/metrics")
		if err != nil {
			lastErr = err
			continue
		}
		succeeded++
		a.Samples = append(a.Samples, savedSample{At: now, Entry: e, Metrics: string(raw)})
	}
	if succeeded == 0 {
		return eris.Wrap(lastErr, "no entry returned metrics")
	}
	for _, e := range entries {
		if raw, err := get(ctx, e, "/v1/config"); err == nil {
			a.Config = raw
			return nil
		}
	}
	return nil
}

// parse parses the metrics of all samples.
func (a *archive) parse() ([]Sample, error) {
	var out []Sample
	for _, s := range a.Samples {
		sample, err := Parse(bytes.NewReader([]byte(s.Metrics)), s.Entry, s.At)
		if err != nil {
			return nil, err
		}
		out = append(out, sample)
	}
	return out, nil
}

// get returns the body of a reply with status 200; errors wrap ErrUnavailable if the entry can't be reached or the status differs.
func get(ctx context.Context, from netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "%v", err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(kctport.ErrUnavailable, "%v%s: status %d", from, path, reply.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(reply.Body, fetchLimit))
	return raw, eris.Wrap(err, "read reply")
}

// decodeConfig decodes a configuration; the result is empty when none was read.
func decodeConfig(raw []byte) (kctport.Config, error) {
	if len(raw) == 0 {
		return kctport.Config{}, nil
	}
	return kctcodec.DecodeConfig(raw)
}

// Read reads the metrics of each entry once and the configuration in force. Entries that can't be reached are left out; it fails if none returns metrics.
func Read(ctx context.Context, entries []netip.AddrPort, now time.Time) ([]Sample, kctport.Config, error) {
	a := &archive{}
	if err := a.collect(ctx, entries, now); err != nil {
		return nil, kctport.Config{}, err
	}
	return a.decode()
}

// decode returns the parsed samples and the configuration.
func (a *archive) decode() ([]Sample, kctport.Config, error) {
	samples, err := a.parse()
	if err != nil {
		return nil, kctport.Config{}, err
	}
	config, err := decodeConfig(a.Config)
	return samples, config, err
}
