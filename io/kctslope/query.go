package kctslope

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

const (
	// callers is the number of concurrent callers, low enough to leave most of the machine idle.
	callers = 4
	// distinctBodies is small, so that bodies repeat and canaries are rare.
	distinctBodies = 16
	// queryTimeout is far above the latency target, since only cost is measured.
	queryTimeout = 10 * time.Second
	// defaultParts and defaultBody, in bytes, are used where the other one varies.
	defaultParts = 50
	defaultBody  = 100
	// relayMembers is the number of entries of the fleet in which three quarters of the parts are relayed.
	relayMembers = 4
)

// queries is the shape of the queries of one measurement; body is in bytes.
type queries struct {
	parts int
	body  int
}

// measureQueries measures the cost of a query with all parts sent directly and with three quarters relayed.
func (m *measurement) measureQueries(ctx context.Context) ([]Series, error) {
	fanouts := []int{1, 10, 50, 100, 200}
	if m.short {
		fanouts = []int{1, 10, 25, shortEndpoints}
	}
	t := table{part: "query"}
	for _, members := range []int{1, relayMembers} {
		m.log("measuring queries to %d entries", members)
		if err := m.measureFleetQueries(ctx, &t, members, fanouts); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) measureFleetQueries(ctx context.Context, t *table, members int, fanouts []int) error {
	maxFanout := fanouts[len(fanouts)-1]
	f, err := startFleet(ctx, m.timer, m.endpointSet, fleetSize{members: members, endpoints: maxFanout, services: maxFanout, zones: 1})
	if err != nil {
		return err
	}
	defer func() { _ = f.stop() }()
	suffix := fmt.Sprintf(", %d entries", members)
	for _, n := range fanouts {
		if err := m.measureQueryShape(ctx, t, f, "parts of a query"+suffix, float64(n), queries{n, defaultBody}); err != nil {
			return err
		}
	}
	for _, n := range []int{100, 1000, 10_000} {
		if err := m.measureQueryShape(ctx, t, f, "bytes of the body"+suffix, float64(n), queries{defaultParts, n}); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) measureQueryShape(ctx context.Context, t *table, f *fleet, x string, size float64, shape queries) error {
	window := m.window() / 2
	// Warms up the admission gates and opens the connections before the measurement.
	if _, err := f.runQueries(ctx, shape, window); err != nil {
		return err
	}
	var counts queryCounts
	used, err := measureUsage(m.timer, func() error {
		var err error
		counts, err = f.runQueries(ctx, shape, window)
		return err
	})
	if err != nil {
		return err
	}
	if counts.complete == 0 {
		return eris.Wrapf(kctport.ErrTimeout, "no complete answer to queries of %+v", shape)
	}
	n := float64(counts.complete)
	t.add(x, size, "processor time a query (ms)", 1000*used.cpuTime.Seconds()/n)
	t.add(x, size, "bytes read and written a query (KB)", float64(used.ioBytes)/n/1000)
	t.add(x, size, "whole answers (1/s)", n/used.elapsed.Seconds())
	t.add(x, size, "queries without a whole answer (of 1)", 1-n/float64(counts.queries))
	return nil
}

// queryCounts counts queries sent and complete answers.
type queryCounts struct {
	queries  int
	complete int
}

// runQueries sends queries from concurrent callers for the given time; it returns their errors only if no answer was complete.
func (f *fleet) runQueries(ctx context.Context, shape queries, length time.Duration) (queryCounts, error) {
	end := f.timer.Now().Add(length)
	type result struct {
		queryCounts
		err error
	}
	done := make(chan result)
	for c := range callers {
		go func() {
			var r result
			for n := c; f.timer.Now().Before(end) && ctx.Err() == nil; n += callers {
				ok, err := f.runQuery(ctx, shape, n)
				r.queries++
				if ok {
					r.complete++
				}
				r.err = err
			}
			done <- r
		}()
	}
	var all queryCounts
	var failed error
	for range callers {
		r := <-done
		all.queries += r.queries
		all.complete += r.complete
		failed = errors.Join(failed, r.err)
	}
	if all.complete > 0 {
		// The share of queries without a complete answer is reported as its own series.
		failed = nil
	}
	return all, errors.Join(failed, ctx.Err())
}

func (f *fleet) runQuery(ctx context.Context, shape queries, n int) (bool, error) {
	q := kctport.Query{
		ID: fmt.Sprintf("slopes-%d-%d", shape.parts, n), Route: "slopes", Deadline: f.timer.Now().Add(queryTimeout),
		Body: []byte(fmt.Sprintf("%d %s", n%distinctBodies, strings.Repeat("x", shape.body))),
	}
	for i := range shape.parts {
		q.Services = append(q.Services, serviceName(i))
	}
	answer, err := f.daemons[n%len(f.daemons)].entry.Query(ctx, q)
	return err == nil && answer.Coverage.Complete(), err
}
