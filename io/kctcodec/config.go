package kctcodec

import (
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctwire"
)

type policyDoc struct {
	Objective kctwire.Duration `json:"objective"`
	Share     float64          `json:"share"`
	Deadline  kctwire.Duration `json:"deadline"`
	Hedge     bool             `json:"hedge"`
	Canary    bool             `json:"canary"`
	Budget    float64          `json:"budget"`
	Queue     int              `json:"queue"`
	Warmup    kctwire.Duration `json:"warmup"`
}

type exceptionDoc struct {
	Name    string              `json:"name"`
	Service kctport.ServiceName `json:"service,omitempty"`
	Field   string              `json:"field,omitempty"`
	Value   string              `json:"value,omitempty"`
	Reason  string              `json:"reason,omitempty"`
}

type zoneDoc struct {
	Zone   kctport.Zone `json:"zone"`
	Reason string       `json:"reason,omitempty"`
}

type moveDoc struct {
	ID       string              `json:"id,omitempty"`
	Service  kctport.ServiceName `json:"service,omitempty"`
	From     kctport.VersionName `json:"from,omitempty"`
	To       kctport.VersionName `json:"to,omitempty"`
	Deadline time.Time           `json:"deadline,omitzero"`
	Started  time.Time           `json:"started,omitzero"`
	State    kctport.MoveState   `json:"state,omitempty"`
	Share    float64             `json:"share"`
	Rate     float64             `json:"rate,omitempty"`
	Evidence string              `json:"evidence,omitempty"`
	Holder   kctport.InstanceID  `json:"holder,omitempty"`
	Epoch    uint64              `json:"epoch,omitempty"`
}

type changeDoc struct {
	ID       string             `json:"id"`
	Revision kctport.Revision   `json:"revision"`
	Author   string             `json:"author,omitempty"`
	At       time.Time          `json:"at,omitzero"`
	Kind     kctport.ChangeKind `json:"kind"`
	Summary  string             `json:"summary"`
}

type configDoc struct {
	Revision   kctport.Revision `json:"revision"`
	Defaults   policyDoc        `json:"defaults"`
	Exceptions []exceptionDoc   `json:"exceptions,omitempty"`
	Zones      []zoneDoc        `json:"zones,omitempty"`
	Moves      []moveDoc        `json:"moves,omitempty"`
	History    []changeDoc      `json:"history,omitempty"`
}

// EncodeConfig encodes a configuration.
func EncodeConfig(config kctport.Config) ([]byte, error) {
	return encode(configDoc{
		Revision:   config.Revision,
		Defaults:   fromPolicy(config.Defaults),
		Exceptions: convertAll(config.Exceptions, fromException),
		Zones:      convertAll(config.ZonesOut, fromZone),
		Moves:      convertAll(config.Moves, fromMove),
		History:    convertAll(config.History, fromChange),
	})
}

// DecodeConfig decodes a configuration and ignores unknown fields.
func DecodeConfig(data []byte) (kctport.Config, error) {
	var doc configDoc
	if err := decodeLenient(data, &doc); err != nil {
		return kctport.Config{}, err
	}
	return kctport.Config{
		Revision:   doc.Revision,
		Defaults:   toPolicy(doc.Defaults),
		Exceptions: convertAll(doc.Exceptions, toException),
		ZonesOut:   convertAll(doc.Zones, toZone),
		Moves:      convertAll(doc.Moves, toMove),
		History:    convertAll(doc.History, func(c changeDoc) kctport.Change { return kctport.Change(c) }),
	}, nil
}

// EncodePolicy encodes a policy.
func EncodePolicy(policy kctport.Policy) ([]byte, error) {
	return encode(fromPolicy(policy))
}

// EncodeExceptions encodes a list of exceptions; here and below, an empty list gives [].
func EncodeExceptions(exceptions []kctport.Exception) ([]byte, error) {
	return encodeList(exceptions, fromException)
}

// EncodeZones encodes a list of zones that are out of service.
func EncodeZones(zones []kctport.ZoneOut) ([]byte, error) {
	return encodeList(zones, fromZone)
}

// EncodeMoves encodes a list of version moves.
func EncodeMoves(moves []kctport.Move) ([]byte, error) {
	return encodeList(moves, fromMove)
}

// EncodeHistory encodes a list of changes.
func EncodeHistory(history []kctport.Change) ([]byte, error) {
	return encodeList(history, fromChange)
}

func fromPolicy(p kctport.Policy) policyDoc {
	return policyDoc{
		Objective: kctwire.Duration(p.Objective), Share: p.ObjectiveShare, Deadline: kctwire.Duration(p.Deadline),
		Hedge: p.Hedge, Canary: p.Canary, Budget: p.Budget, Queue: p.Queue, Warmup: kctwire.Duration(p.Warmup),
	}
}

func toPolicy(d policyDoc) kctport.Policy {
	return kctport.Policy{
		Objective: time.Duration(d.Objective), ObjectiveShare: d.Share, Deadline: time.Duration(d.Deadline),
		Hedge: d.Hedge, Canary: d.Canary, Budget: d.Budget, Queue: d.Queue, Warmup: time.Duration(d.Warmup),
	}
}

func fromException(e kctport.Exception) exceptionDoc { return exceptionDoc(e) }

func toException(d exceptionDoc) kctport.Exception { return kctport.Exception(d) }

func fromZone(z kctport.ZoneOut) zoneDoc { return zoneDoc(z) }

func toZone(d zoneDoc) kctport.ZoneOut { return kctport.ZoneOut(d) }

func fromChange(c kctport.Change) changeDoc { return changeDoc(c) }

func fromMove(m kctport.Move) moveDoc { return moveDoc(m) }

func toMove(d moveDoc) kctport.Move { return kctport.Move(d) }
