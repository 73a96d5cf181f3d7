package kctcodec

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	kctport "kingcupturn"
)

func sample() kctport.Config {
	at := time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	return kctport.Config{
		Revision:   7,
		Defaults:   kctport.Policy{Objective: 210 * time.Millisecond, ObjectiveShare: 0.99, Deadline: time.Second, Hedge: true, Budget: 0.05, Queue: 3, Warmup: time.Minute},
		Exceptions: []kctport.Exception{{Name: "n", Service: "s", Field: "hedge", Value: "false", Reason: "r"}},
		ZonesOut:   []kctport.ZoneOut{{Zone: "z", Reason: "r"}},
		Moves:      []kctport.Move{{ID: "m", Service: "s", From: "a", To: "b", Deadline: at, Started: at, State: kctport.MoveRunning, Share: 0.05, Evidence: "e", Holder: "h", Epoch: 2}},
		History:    []kctport.Change{{ID: "c", Revision: 7, Author: "o", At: at, Kind: kctport.StartMove, Summary: "u"}},
	}
}

// Guards against a field that encoding or decoding omits.
func TestRoundTrip(t *testing.T) {
	config := sample()
	data, err := EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	back, err := DecodeConfig(data)
	if err != nil || !reflect.DeepEqual(back, config) {
		t.Fatalf("got %+v, %v, want %+v", back, err, config)
	}
	request := kctport.ChangeRequest{ID: "i", Author: "o", Kind: kctport.StartMove, Field: "f", Value: "v", Exception: config.Exceptions[0], Zone: config.ZonesOut[0], Move: config.Moves[0]}
	data, _ = EncodeChange(request)
	if got, err := DecodeChange(data); err != nil || !reflect.DeepEqual(got, request) {
		t.Fatalf("got %+v, %v, want %+v", got, err, request)
	}
	result := kctport.ChangeResult{Outcome: kctport.Refused, Revision: 3, Message: "m", InForce: 1, Members: 2}
	data, _ = EncodeResult(result)
	if got, err := DecodeResult(data); err != nil || got != result {
		t.Fatalf("got %+v, %v, want %+v", got, err, result)
	}
}

// Guards against a misspelt field of an operator that is ignored without an error, and against a stored document of a newer
// release that an older entry cannot read.
func TestUnknownFields(t *testing.T) {
	for _, text := range []string{`{"id":"a","knid":"zoneout"}`, `{"id":"a"} {"id":"b"}`, `{"id":1}`, ``} {
		if _, err := DecodeChange([]byte(text)); !errors.Is(err, kctport.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", text, err)
		}
	}
	config, err := DecodeConfig([]byte(`{"revision":4,"later":{"x":1}}`))
	if err != nil || config.Revision != 4 {
		t.Errorf("got %+v, %v", config, err)
	}
}

// Guards against changed field names and against other encodings of durations and times.
func TestFieldNames(t *testing.T) {
	data, _ := EncodeConfig(sample())
	for _, word := range []string{`"objective":"210ms"`, `"deadline":"2026-03-04T05:06:07.000000008Z"`} {
		if !strings.Contains(string(data), word) {
			t.Errorf("%s lacks %s", data, word)
		}
	}
}

func FuzzDecodeConfig(f *testing.F) {
	data, _ := EncodeConfig(sample())
	f.Add(data)
	f.Add([]byte(`{"defaults":{"objective":"-1h"},"moves":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := DecodeConfig(data)
		if err != nil {
			return
		}
		again, err := EncodeConfig(config)
		if err != nil {
			return
		}
		back, err := DecodeConfig(again)
		if err != nil || !reflect.DeepEqual(back, config) {
			t.Fatalf("got %+v, %v, want %+v", back, err, config)
		}
	})
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"id":"a","kind":"zoneout","zone":{"zone":"z","reason":"r"}}`))
	f.Add([]byte(`{"id":"a","kind":"move","move":{"service":"s","from":"a","to":"b","deadline":"2026-03-04T05:06:07Z"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := DecodeChange(data)
		if err != nil {
			return
		}
		again, err := EncodeChange(request)
		if err != nil {
			return
		}
		if _, err := DecodeChange(again); err != nil {
			t.Fatalf("%s: %v", again, err)
		}
	})
}
