package kctload

import (
	"bytes"
	"encoding/json"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"

	"github.com/rotisserie/eris"
)

type workloadMessage struct {
	Name        string           `json:"name"`
	Entries     int              `json:"entries"`
	Zones       []kctport.Zone   `json:"zones"`
	ZoneDelay   kctwire.Duration `json:"between"`
	CallerDelay kctwire.Duration `json:"outside"`
	Services    []serviceMessage `json:"services"`
	Kinds       []kindMessage    `json:"kinds"`
}

type serviceMessage struct {
	Name        kctport.ServiceName `json:"name"`
	Servers     int                 `json:"servers"`
	Shards      int                 `json:"shards"`
	Slots       int                 `json:"slots"`
	Connections int                 `json:"connections"`
	Connect     kctwire.Duration    `json:"connect"`
	Base        kctwire.Duration    `json:"base"`
	Tail        kctwire.Duration    `json:"tail"`
}

type kindMessage struct {
	Name     string                `json:"name"`
	Services []kctport.ServiceName `json:"services"`
	Route    string                `json:"route"`
	Execute  bool                  `json:"execute,omitempty"`
	Urgent   float64               `json:"urgent"`
	Deadline kctwire.Duration      `json:"deadline"`
	Rate     float64               `json:"rate"`
	Bodies   int                   `json:"bodies"`
}

// EncodeWorkload returns the workload as JSON.
func EncodeWorkload(w Workload) ([]byte, error) {
	m := workloadMessage{Name: w.Name, Entries: w.Entries, Zones: w.Zones, ZoneDelay: kctwire.Duration(w.ZoneDelay), CallerDelay: kctwire.Duration(w.CallerDelay)}
	for _, s := range w.Services {
		m.Services = append(m.Services, serviceMessage{s.Name, s.EndpointCount, s.Shards, s.Slots, s.Connections, kctwire.Duration(s.ConnectDelay), kctwire.Duration(s.Base), kctwire.Duration(s.Tail)})
	}
	for _, k := range w.Kinds {
		m.Kinds = append(m.Kinds, kindMessage{k.Name, k.Services, k.Route, k.Execute, k.Urgent, kctwire.Duration(k.Deadline), k.Rate, k.Bodies})
	}
	raw, err := json.MarshalIndent(m, "", "  ")
	return raw, eris.Wrap(err, "encode workload")
}

// DecodeWorkload decodes and validates a workload; unknown fields and invalid values give an error that wraps kctport.ErrInvalid.
func DecodeWorkload(raw []byte) (Workload, error) {
	var m workloadMessage
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return Workload{}, eris.Wrapf(kctport.ErrInvalid, "decode workload: %v", err)
	}
	w := Workload{Name: m.Name, Entries: m.Entries, Zones: m.Zones, ZoneDelay: time.Duration(m.ZoneDelay), CallerDelay: time.Duration(m.CallerDelay)}
	for _, s := range m.Services {
		w.Services = append(w.Services, Service{s.Name, s.Servers, s.Shards, s.Slots, s.Connections, time.Duration(s.Connect), time.Duration(s.Base), time.Duration(s.Tail)})
	}
	for _, k := range m.Kinds {
		w.Kinds = append(w.Kinds, Kind{k.Name, k.Services, k.Route, k.Execute, k.Urgent, time.Duration(k.Deadline), k.Rate, k.Bodies})
	}
	return w, w.Validate()
}
