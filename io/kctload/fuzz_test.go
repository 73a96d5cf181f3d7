package kctload

import (
	"reflect"
	"testing"
)

// Guards against a panic on malformed workload JSON, and against an accepted workload that changes when it is encoded and decoded again.
func FuzzDecodeWorkload(f *testing.F) {
	for _, w := range []Workload{smallWorkload()} {
		raw, err := EncodeWorkload(w)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		w, err := DecodeWorkload(raw)
		if err != nil {
			return
		}
		again, err := EncodeWorkload(w)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := DecodeWorkload(again); err != nil || !reflect.DeepEqual(w, back) {
			t.Errorf("decoded %+v again, error %v, want %+v", back, err, w)
		}
	})
}
