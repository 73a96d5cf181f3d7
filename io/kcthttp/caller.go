package kcthttp

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

const (
	// maxServices bounds the fan-out of one query.
	maxServices = 200
	// maxKeys bounds the keys issued for one request.
	maxKeys = 1000
	// maxDeadline bounds how long a request may stay in the tier.
	maxDeadline = time.Minute
	// defaultDeadline applies when neither the request nor the policy sets a deadline.
	defaultDeadline = time.Second
)

type addressesReply struct {
	Addresses []netip.AddrPort `json:"addresses"`
	TTL       kctwire.Duration `json:"ttl"`
}

func (s *Server) addresses(c echo.Context) error {
	list, ttl := s.tier.Addresses(kctport.Zone(c.QueryParam("zone")))
	return c.JSON(http.StatusOK, addressesReply{Addresses: list, TTL: kctwire.Duration(ttl)})
}

type queryRequest struct {
	ID       string                `json:"id"`
	Services []kctport.ServiceName `json:"services"`
	Route    string                `json:"route"`
	Urgent   bool                  `json:"urgent"`
	Text     string                `json:"text"`
	Deadline *kctwire.Duration     `json:"deadline"`
}

type itemReply struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type coverageReply struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Whole    bool     `json:"whole"`
	Missing  []string `json:"missing"`
}

type queryReply struct {
	ID       string           `json:"id"`
	Snapshot kctport.Snapshot `json:"snapshot"`
	Items    []itemReply      `json:"items"`
	Coverage coverageReply    `json:"coverage"`
}

func (s *Server) query(c echo.Context) error {
	var r queryRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	if len(r.Services) == 0 || len(r.Services) > maxServices {
		return invalid("services: %d given; allowed is 1 to %d", len(r.Services), maxServices)
	}
	deadline, err := s.requestDeadline(r.Deadline, r.Services[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), deadline)
	defer cancel()
	// Peers give callers the address of a new entry before that entry has received its first endpoints.
	s.tier.WaitForEndpoints(ctx)
	if err := s.checkServices(r.Services); err != nil {
		return err
	}
	answer, err := s.tier.Query(ctx, kctport.Query{
		ID: r.ID, Services: r.Services, Route: r.Route, Urgent: r.Urgent, Body: []byte(r.Text), Deadline: deadline,
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, replyOf(answer))
}

func replyOf(a kctport.Answer) queryReply {
	reply := queryReply{ID: a.ID, Snapshot: a.Snapshot, Items: itemsOf(a.Items)}
	reply.Coverage = coverageReply{
		Answered: a.Coverage.Answered, Total: a.Coverage.Total, Whole: a.Coverage.Complete(), Missing: []string{},
	}
	for _, p := range a.Coverage.Missing {
		reply.Coverage.Missing = append(reply.Coverage.Missing, p.String())
	}
	return reply
}

func itemsOf(items []kctport.Item) []itemReply {
	out := make([]itemReply, 0, len(items))
	for _, i := range items {
		out = append(out, itemReply{ID: i.ID, Score: i.Score, Text: i.Text})
	}
	return out
}

// checkServices refuses duplicate services, whose parts would be counted twice, and services without a known endpoint.
func (s *Server) checkServices(names []kctport.ServiceName) error {
	view := s.tier.View()
	// An entry that started during an outage of the platform has no endpoints yet, so the request may be valid.
	if len(view.Services) == 0 {
		return eris.Wrap(kctport.ErrNotRun, "no endpoints known yet")
	}
	seen := make(map[kctport.ServiceName]bool, len(names))
	for _, name := range names {
		if seen[name] {
			return invalid("services: %q is given twice", name)
		}
		seen[name] = true
		if view.Services[name] == nil {
			return invalid("services: %q is not known", name)
		}
	}
	return nil
}

func (s *Server) requestDeadline(requested *kctwire.Duration, name kctport.ServiceName) (time.Time, error) {
	now := s.timer.Now()
	if requested != nil {
		d := time.Duration(*requested)
		if d <= 0 || d > maxDeadline {
			return now, invalid("deadline: %q is not allowed; allowed is more than 0s to %s from now", d, maxDeadline)
		}
		return now.Add(d), nil
	}
	if service := s.tier.View().Services[name]; service != nil && service.Policy.Deadline > 0 {
		return now.Add(service.Policy.Deadline), nil
	}
	return now.Add(defaultDeadline), nil
}

type keysRequest struct {
	Count int `json:"count"`
}

type keysReply struct {
	Keys []string         `json:"keys"`
	TTL  kctwire.Duration `json:"ttl"`
}

func (s *Server) keys(c echo.Context) error {
	r := keysRequest{Count: 1}
	if err := decode(c, &r); err != nil {
		return err
	}
	if r.Count < 1 || r.Count > maxKeys {
		return invalid("count: %d is not allowed; allowed is 1 to %d", r.Count, maxKeys)
	}
	keys, ttl := s.tier.Keys(r.Count)
	return c.JSON(http.StatusOK, keysReply{Keys: keys, TTL: kctwire.Duration(ttl)})
}

type executeRequest struct {
	Key      string              `json:"key"`
	Service  kctport.ServiceName `json:"service"`
	Route    string              `json:"route"`
	Text     string              `json:"text"`
	Deadline *kctwire.Duration   `json:"deadline"`
}

type executeReply struct {
	Key   string      `json:"key"`
	Items []itemReply `json:"items"`
}

func (s *Server) execute(c echo.Context) error {
	var r executeRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	if r.Key == "" {
		return invalid("key: missing; get one with POST /v1/keys")
	}
	deadline, err := s.requestDeadline(r.Deadline, r.Service)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), deadline)
	defer cancel()
	result, err := s.tier.Execute(ctx, kctport.Execution{
		Key: r.Key, Service: r.Service, Route: r.Route, Body: []byte(r.Text), Deadline: deadline,
	})
	if err != nil {
		return s.unknownServiceError(err, r.Service)
	}
	return c.JSON(http.StatusOK, executeReply{Key: result.Key, Items: itemsOf(result.Items)})
}

// unknownServiceError replaces the error of an execution that did not run when its service is unknown. The service is checked
// after the execution, since the key's issuer may have run an earlier send of the request even if this entry has no such service.
func (s *Server) unknownServiceError(err error, name kctport.ServiceName) error {
	if ranStatus(err) != "no" || errors.Is(err, kctport.ErrInvalid) {
		return err
	}
	if cause := s.checkServices([]kctport.ServiceName{name}); cause != nil {
		return cause
	}
	return err
}
