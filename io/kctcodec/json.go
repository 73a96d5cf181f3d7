package kctcodec

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return eris.Wrapf(kctport.ErrInvalid, "JSON: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return eris.Wrap(kctport.ErrInvalid, "JSON: more than one value")
	}
	return nil
}

// decodeLenient decodes one JSON value and ignores unknown fields.
func decodeLenient(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(kctport.ErrInvalid, "JSON: %v", err)
	}
	return nil
}

// encode returns the JSON encoding of a value; it fails for numbers that JSON cannot represent and for years after 9999.
func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrapf(kctport.ErrInvalid, "JSON: %v", err)
	}
	return data, nil
}

// convertAll applies convert to every element of a slice; an empty slice gives nil.
func convertAll[A, B any](from []A, convert func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, 0, len(from))
	for _, x := range from {
		to = append(to, convert(x))
	}
	return to
}

func encodeList[A, B any](from []A, convert func(A) B) ([]byte, error) {
	if len(from) == 0 {
		return []byte("[]"), nil
	}
	return encode(convertAll(from, convert))
}
