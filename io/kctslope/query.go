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
	// callers ask at the same time, few enough to leave most of the machine to others.
	callers = 4
	// bodies are asked again and again, so that canaries are rare.
	bodies = 16
	// patience is far above the latency target, since only cost is measured here.
	patience = 10 * time.Second
	// usualParts and usualBody are used where the other one varies.
	usualParts = 50
	usualBody  = 100
	// relaying is the number of entries of the fleet in which most parts are relayed.
	relaying = 4
)

// asked is one shape of queries.
type asked struct {
	parts int
	body  int
}

// queries measures the cost of a query with all parts owned and with three quarters relayed.
func (m *measurement) queries(ctx context.Context) ([]Series, error) {
	fanouts := []int{1, 10, 50, 100, 200}
	if m.short {
		fanouts = []int{1, 10, 25, shortServers}
	}
	t := table{part: "query"}
	for _, members := range []int{1, relaying} {
		m.log("queries to %d entries", members)
		if err := m.queryFleet(ctx, &t, members, fanouts); err != nil {
			return nil, err
		}
	}
	return t.fitted(), nil
}

func (m *measurement) queryFleet(ctx context.Context, t *table, members int, fanouts []int) error {
	most := fanouts[len(fanouts)-1]
	f, err := startFleet(ctx, m.timer, m.servers, fleetSize{members: members, endpoints: most, services: most, zones: 1})
	if err != nil {
		return err
	}
	defer func() { _ = f.stop() }()
	suffix := fmt.Sprintf(", %d entries", members)
	for _, n := range fanouts {
		if err := m.queryCost(ctx, t, f, "parts of a query"+suffix, float64(n), asked{n, usualBody}); err != nil {
			return err
		}
	}
	for _, n := range []int{100, 1000, 10_000} {
		if err := m.queryCost(ctx, t, f, "bytes of the body"+suffix, float64(n), asked{usualParts, n}); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) queryCost(ctx context.Context, t *table, f *fleet, x string, size float64, shape asked) error {
	window := m.window() / 2
	// Gates warm up and connections open before the measurement.
	if _, err := f.ask(ctx, shape, window); err != nil {
		return err
	}
	var answers tally
	used, err := during(m.timer, func() error {
		var err error
		answers, err = f.ask(ctx, shape, window)
		return err
	})
	if err != nil {
		return err
	}
	if answers.whole == 0 {
		return eris.Wrapf(kctport.ErrTimeout, "no whole answer to queries of %+v", shape)
	}
	n := float64(answers.whole)
	t.add(x, size, "processor time a query (ms)", 1000*used.processor.Seconds()/n)
	t.add(x, size, "bytes read and written a query (KB)", float64(used.moved)/n/1000)
	t.add(x, size, "whole answers (1/s)", n/used.elapsed.Seconds())
	t.add(x, size, "queries without a whole answer (of 1)", 1-n/float64(answers.asked))
	return nil
}

// tally counts queries and whole answers.
type tally struct {
	asked int
	whole int
}

// ask sends queries from several callers for some time.
func (f *fleet) ask(ctx context.Context, shape asked, length time.Duration) (tally, error) {
	until := f.timer.Now().Add(length)
	type result struct {
		tally
		err error
	}
	done := make(chan result)
	for c := range callers {
		go func() {
			var r result
			for n := c; f.timer.Now().Before(until) && ctx.Err() == nil; n += callers {
				ok, err := f.askOnce(ctx, shape, n)
				r.asked++
				if ok {
					r.whole++
				}
				r.err = err
			}
			done <- r
		}()
	}
	var all tally
	var failed error
	for range callers {
		r := <-done
		all.asked += r.asked
		all.whole += r.whole
		failed = errors.Join(failed, r.err)
	}
	if all.whole > 0 {
		// The share of queries without a whole answer is a figure of its own.
		failed = nil
	}
	return all, errors.Join(failed, ctx.Err())
}

func (f *fleet) askOnce(ctx context.Context, shape asked, n int) (bool, error) {
	q := kctport.Query{
		ID: fmt.Sprintf("slopes-%d-%d", shape.parts, n), Route: "slopes", Deadline: f.timer.Now().Add(patience),
		Body: []byte(fmt.Sprintf("%d %s", n%bodies, strings.Repeat("x", shape.body))),
	}
	for i := range shape.parts {
		q.Services = append(q.Services, serviceName(i))
	}
	answer, err := f.daemons[n%len(f.daemons)].entry.Query(ctx, q)
	return err == nil && answer.Coverage.Complete(), err
}
