package kctcodec

import (
	kctport "kingcupturn"
)

type requestDoc struct {
	ID        string             `json:"id"`
	Author    string             `json:"author,omitempty"`
	Kind      kctport.ChangeKind `json:"kind"`
	Field     string             `json:"field,omitempty"`
	Value     string             `json:"value,omitempty"`
	Exception exceptionDoc       `json:"exception,omitzero"`
	Zone      zoneDoc            `json:"zone,omitzero"`
	Move      moveDoc            `json:"move,omitzero"`
}

type resultDoc struct {
	Outcome  kctport.Outcome  `json:"outcome"`
	Revision kctport.Revision `json:"revision"`
	Message  string           `json:"message"`
	InForce  int              `json:"inforce"`
	Members  int              `json:"members"`
}

// EncodeChange encodes a change request.
func EncodeChange(r kctport.ChangeRequest) ([]byte, error) {
	return encode(requestDoc{
		ID: r.ID, Author: r.Author, Kind: r.Kind, Field: r.Field, Value: r.Value,
		Exception: fromException(r.Exception), Zone: fromZone(r.Zone), Move: fromMove(r.Move),
	})
}

// DecodeChange decodes an operator's change request and refuses unknown fields.
func DecodeChange(data []byte) (kctport.ChangeRequest, error) {
	var doc requestDoc
	if err := decodeStrict(data, &doc); err != nil {
		return kctport.ChangeRequest{}, err
	}
	return kctport.ChangeRequest{
		ID: doc.ID, Author: doc.Author, Kind: doc.Kind, Field: doc.Field, Value: doc.Value,
		Exception: toException(doc.Exception), Zone: toZone(doc.Zone), Move: toMove(doc.Move),
	}, nil
}

// EncodeResult encodes the result of a change.
func EncodeResult(r kctport.ChangeResult) ([]byte, error) {
	return encode(resultDoc(r))
}

// DecodeResult decodes the result of a change and ignores unknown fields.
func DecodeResult(data []byte) (kctport.ChangeResult, error) {
	var doc resultDoc
	if err := decodeLenient(data, &doc); err != nil {
		return kctport.ChangeResult{}, err
	}
	return kctport.ChangeResult(doc), nil
}
