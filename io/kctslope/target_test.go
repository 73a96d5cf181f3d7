package kctslope

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"kingcupturn/io/kctplot"
)

// Guards against a verdict based on the fitted line although the target size was measured, and against a series file that does not read back as written.
func TestNeedsFromFile(t *testing.T) {
	tb := table{part: "record"}
	for _, p := range []kctplot.Point{{X: 9, Y: 20}, {X: 500, Y: 40}, {X: targetMembers, Y: 41}} {
		tb.add("members", p.X, "instance list (KB)", p.Y)
	}
	all := tb.fitted()
	var b bytes.Buffer
	if err := WriteJSON(&b, all); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "slopes.json")
	if err := os.WriteFile(name, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readSeries(name)
	if err != nil || !reflect.DeepEqual(got, all) {
		t.Fatalf("read %+v, %v, wrote %+v", got, err, all)
	}
	n := needs(got)
	if len(n) != 1 || n[0].need != 41/listPeriod || n[0].verdict() != "not met" {
		t.Errorf("needs %+v", n)
	}
}
