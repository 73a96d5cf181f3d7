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
	first := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large, Revision: kctport.StoreRevision{Era: 1, Number: 1}})
	again := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large, Revision: kctport.StoreRevision{Era: 1, Number: 1}})
	if !first.GetCompressed() || len(first.GetValue())*10 > len(large) {
		t.Errorf("sent %d bytes for a value of %d bytes, want at most a tenth", len(first.GetValue()), len(large))
	}
	if &first.GetValue()[0] != &again.GetValue()[0] {
		t.Error("the value was compressed again for the second subscriber")
	}
	if next := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: large[:len(large)/2], Revision: kctport.StoreRevision{Era: 1, Number: 2}}); bytes.Equal(next.GetValue(), first.GetValue()) {
		t.Error("the compressed value of an older revision was sent")
	}
}

// TestRevisionGivenOutAgain guards against the old value of a key in place of its new one, when a store that has come back from an older copy gives out the
// revision of the old one again.
func TestRevisionGivenOutAgain(t *testing.T) {
	e := newEncoder()
	value := func(text string) []byte { return bytes.Repeat([]byte(text), 1000) }
	for _, want := range [][]byte{value("old rules"), value("new rules"), value("new rules")} {
		sent := e.encodeRecord(kctport.RegistryChange{Key: "rules", Value: want, Revision: kctport.StoreRevision{Era: 1, Number: 57}})
		if got, err := decompress(sent.GetValue()); err != nil || !bytes.Equal(got, want) {
			t.Errorf("sent %.9q for %.9q, %v", got, want, err)
		}
	}
}
