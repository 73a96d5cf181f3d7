package kcthttp

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

func (s *Server) moves(c echo.Context) error {
	config, err := s.tier.Config(c.Request().Context())
	if err != nil {
		return err
	}
	moves, err := kctcodec.EncodeMoves(config.Moves)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]json.RawMessage{"moves": moves})
}

type viewReply struct {
	Revision  kctport.Revision         `json:"revision"`
	Self      kctport.InstanceID       `json:"self"`
	Isolated  bool                     `json:"isolated"`
	Draining  bool                     `json:"draining"`
	Zones     map[kctport.Zone]float64 `json:"zones"`
	Members   []memberReply            `json:"members"`
	Endpoints []endpointReply          `json:"endpoints"`
}

type memberReply struct {
	ID       kctport.InstanceID `json:"id"`
	Zone     kctport.Zone       `json:"zone"`
	Peer     string             `json:"peer"`
	Caller   string             `json:"caller"`
	Alive    bool               `json:"alive"`
	Revision kctport.Revision   `json:"revision"`
}

type endpointReply struct {
	ID        kctport.InstanceID  `json:"id"`
	Service   kctport.ServiceName `json:"service"`
	Zone      kctport.Zone        `json:"zone"`
	Version   kctport.VersionName `json:"version"`
	Owner     kctport.InstanceID  `json:"owner"`
	Usable    bool                `json:"usable"`
	Reason    string              `json:"reason"`
	Snapshots []kctport.Snapshot  `json:"snapshots"`
}

func (s *Server) view(c echo.Context) error {
	v := s.tier.View()
	reply := viewReply{
		Revision: v.Revision, Self: v.Self.ID, Isolated: v.Isolated, Draining: v.Draining, Zones: v.ZoneShares,
		Members: []memberReply{}, Endpoints: []endpointReply{},
	}
	for _, m := range v.Members {
		reply.Members = append(reply.Members, memberReply{
			ID: m.ID, Zone: m.Zone, Peer: m.Peer.String(), Caller: m.Caller.String(), Alive: m.Alive(), Revision: m.Revision,
		})
	}
	slices.SortFunc(reply.Members, func(a, b memberReply) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for r := range v.Replicas() {
		reply.Endpoints = append(reply.Endpoints, endpointOf(r))
	}
	slices.SortFunc(reply.Endpoints, func(a, b endpointReply) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return c.JSON(http.StatusOK, reply)
}

func endpointOf(r *kctport.Replica) endpointReply {
	e := endpointReply{
		ID: r.ID, Service: r.Service, Zone: r.Zone, Version: r.Version, Owner: r.Owner, Usable: r.Usable, Reason: r.Reason,
		Snapshots: []kctport.Snapshot{},
	}
	for _, h := range r.Status.Holdings {
		e.Snapshots = append(e.Snapshots, h.Snapshot)
	}
	return e
}
