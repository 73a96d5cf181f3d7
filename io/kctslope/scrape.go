package kctslope

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// controlBytes is the suffix of the metric that counts bytes of control messages in both directions.
const controlBytes = "control_bytes_total"

// scrapeMetric reads the metrics of an entry over HTTP and returns the sum of a metric's series.
func scrapeMetric(ctx context.Context, address netip.AddrPort, metric string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return 0, eris.Wrap(err, "create metrics request")
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrapf(err, "get metrics of %v", address)
	}
	defer func() { _ = reply.Body.Close() }()
	return sumSamples(reply.Body, metric)
}

// sumSamples adds up the samples of the metrics with the given name suffix, in the Prometheus text format; without one it returns an error.
func sumSamples(r io.Reader, metric string) (float64, error) {
	var total float64
	found := false
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		name, _, _ := strings.Cut(line, "{")
		if strings.HasPrefix(line, "#") || !strings.HasSuffix(strings.TrimSpace(name), metric) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return 0, eris.Wrapf(err, "parse sample %q", line)
		}
		total += value
		found = true
	}
	if !found {
		return 0, eris.Errorf("metric %s not found", metric)
	}
	return total, eris.Wrap(lines.Err(), "read metrics")
}
