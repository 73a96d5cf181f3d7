package kctfeed

import (
	"bytes"
	"testing"

	kctport "kingcupturn"
)

// TestLargeValue guards against rules sent uncompressed: 20 copies of 400 KB saturated a link of 20 Mbit/s for 5 s, and rules must be in force
// within 3 s.
func TestLargeValue(t *testing.T) {
	e := newEncoder()
	large := bytes.Repeat([]byte(`{"name":"r-1","host":"some.example","path-prefix":"/a/"},`), 7000)
	first := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large, Revision: 1})
	again := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large, Revision: 1})
	if !first.GetCompressed() || len(first.GetValue())*10 > len(large) {
		t.Errorf("sent %d bytes for a value of %d bytes, want at most a tenth", len(first.GetValue()), len(large))
	}
	if &first.GetValue()[0] != &again.GetValue()[0] {
		t.Error("the value was compressed again for the second subscriber")
	}
	if next := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large[:len(large)/2], Revision: 2}); bytes.Equal(next.GetValue(), first.GetValue()) {
		t.Error("the compressed value of an older revision was sent")
	}
}
