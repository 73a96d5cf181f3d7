package kctsetting

import (
	"errors"
	"path/filepath"
	"regexp"
	"testing"

	kctport "kingcupturn"
)

// Guards against example files that no longer load, since operators copy them, and against an error that omits
// a wrong field, its value or what is allowed, since operators would then find one mistake per start.
func TestExamples(t *testing.T) {
	wrong := map[string]string{
		"id": "entry 1", "zone": "", "peer": "localhost:7100", "caller": "10.1.1.11", "platform": "0.0.0.0:7000",
		"seeds": "smokehouses-entry-2", "lifetime": "0s", "connections": "0", "body": "100",
		"ownership": "all", "hedge": "maybe", "picker": "first",
	}
	for name, fields := range map[string]map[string]string{"smokehouses.json": nil, "patinha.json": nil, "refused.json": wrong} {
		_, err := Parse([]string{"--settings=" + filepath.Join("..", "..", "examples", name)})
		if len(fields) == 0 {
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if !errors.Is(err, kctport.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
			continue
		}
		for field, value := range fields {
			refusal := regexp.MustCompile(`\b` + field + `: "` + regexp.QuoteMeta(value) + `" is not allowed; allowed is [^;]+`)
			if !refusal.MatchString(err.Error()) {
				t.Errorf("%s: error lacks field %s with its value and what is allowed: %v", name, field, err)
			}
		}
	}
}
