package kctpath

import (
	"context"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/core/kctbalance"
)

// Server makes attempts for other entries.
type Server struct {
	fleets kctport.Fleets
	direct kctport.Exchanger
}

var _ kctport.RelayHandler = (*Server)(nil)

// NewServer returns the server of an entry.
func NewServer(fleets kctport.Fleets, direct kctport.Exchanger) *Server {
	return &Server{fleets: fleets, direct: direct}
}

// Relay makes one attempt at an endpoint that this entry knows too; ErrDeclined means that it doesn't.
func (s *Server) Relay(ctx context.Context, a kctport.RelayAttempt) (kctport.Response, error) {
	fleet := s.fleets.Fleet()
	if fleet.Rules == nil || fleet.Draining {
		return kctport.Response{}, eris.Wrap(kctport.ErrDeclined, "this entry is not ready")
	}
	for _, f := range fleet.Endpoints[a.Service] {
		if f.ID != a.Endpoint {
			continue
		}
		return s.direct.Exchange(ctx, &f.EndpointRecord, a.Message, kctport.ExchangeOptions{
			Deadline: a.Deadline, Connections: kctbalance.Connections(fleet, a.Service),
		})
	}
	return kctport.Response{}, eris.Wrapf(kctport.ErrDeclined, "endpoint %s of %s is not known here", a.Endpoint, a.Service)
}
