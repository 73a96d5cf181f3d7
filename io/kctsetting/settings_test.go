package kctsetting

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	kctport "kingcupturn"
)

var valid = map[string]string{
	"id": "entry-1", "zone": "a", "peer": "127.0.0.1:7101", "caller": "127.0.0.1:7201", "platform": "127.0.0.1:7000",
}

func arguments(field, value string) []string {
	var args []string
	for k, v := range valid {
		if k != field {
			args = append(args, "--"+k+"="+v)
		}
	}
	if field != "" {
		args = append(args, "--"+field+"="+value)
	}
	return args
}

// Guards against an error for an invalid setting that doesn't name the field and what is allowed.
func TestParseNamesEachWrongField(t *testing.T) {
	wrong := map[string]string{
		"id": "", "zone": "a b", "peer": "localhost:7101", "caller": "127.0.0.1:7101", "platform": "127.0.0.1",
		"seeds": "entry-2", "lifetime": "0s", "connections": "0", "body": "1", "ownership": "all", "hedge": "maybe", "picker": "first",
	}
	for field, value := range wrong {
		_, err := Parse(arguments(field, value))
		if !errors.Is(err, kctport.ErrInvalid) {
			t.Errorf("%s=%q: got %v, want ErrInvalid", field, value, err)
			continue
		}
		if !strings.Contains(err.Error(), field+": ") || !strings.Contains(err.Error(), "allowed is") {
			t.Errorf("%s=%q: error does not name the field and what is allowed: %v", field, value, err)
		}
	}
	if _, err := Parse(arguments("", "")); err != nil {
		t.Errorf("valid settings refused: %v", err)
	}
}

// Guards against accepting unknown fields, malformed JSON and wrong types in the file; a misspelt field would
// silently leave its default in force.
func TestParseRefusesBadFiles(t *testing.T) {
	files := map[string]string{"unknown.json": `{"idd":"x"}`, "malformed.json": `{"id":`, "type.json": `{"connections":"many"}`}
	for name, text := range files {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(append(arguments("", ""), "--settings="+path)); !errors.Is(err, kctport.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
}
