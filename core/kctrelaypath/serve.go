package kctrelaypath

import (
	"context"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
)

// statusUnavailable is the status of an attempt that was refused and has not run.
const statusUnavailable = 503

// Server sends attempts for entries of other zones.
type Server struct {
	fleets   kctport.Fleets
	direct   kctport.Exchanger
	balancer *kctbalance.Balancer
	timer    kctport.Timer
}

var _ kctport.RelayHandler = (*Server)(nil)

// NewServer returns a server that sends attempts through direct; the balancer holds what endpoints said of themselves.
func NewServer(fleets kctport.Fleets, direct kctport.Exchanger, balancer *kctbalance.Balancer, timer kctport.Timer) *Server {
	return &Server{fleets: fleets, direct: direct, balancer: balancer, timer: timer}
}

// Relay sends one attempt to an endpoint; ErrDeclined means that this entry has no rules, is draining or has no record of the endpoint.
func (s *Server) Relay(ctx context.Context, a kctport.RelayAttempt) (kctport.Response, error) {
	fleet := s.fleets.Fleet()
	if fleet.Rules == nil || fleet.Draining {
		return kctport.Response{}, eris.Wrap(kctport.ErrDeclined, "this entry is not ready")
	}
	f := fleet.Endpoint(a.Service, a.Endpoint)
	if f == nil {
		return kctport.Response{}, eris.Wrapf(kctport.ErrDeclined, "endpoint %s of %s is not known here", a.Endpoint, a.Service)
	}
	if barred, notice := s.balancer.Barred(s.timer.Now(), &f.EndpointRecord); barred > 0 {
		// The endpoint refuses this entry's requests, so that the asking entry learns of it from this answer.
		return kctport.Response{Status: statusUnavailable, NotRun: true, Notice: notice}, nil
	}
	type outcome struct {
		response kctport.Response
		err      error
	}
	ended := make(chan outcome, 1)
	s.direct.Open(ctx, a.Message).Send(&f.EndpointRecord, kctport.ExchangeOptions{
		Deadline: a.Deadline, Connections: kctbalance.Connections(fleet, a.Service),
		Usable: func() bool {
			barred, _ := s.balancer.Barred(s.timer.Now(), &f.EndpointRecord)
			return barred == 0 && s.fleets.Fleet().Endpoint(a.Service, a.Endpoint) != nil
		},
	}, func(r kctport.Response, err error) { ended <- outcome{r, err} })
	o := <-ended
	if o.err == nil && !o.response.Misdirected {
		s.balancer.RecordNotice(s.timer.Now(), &f.EndpointRecord, o.response.Notice)
	}
	return o.response, o.err
}
