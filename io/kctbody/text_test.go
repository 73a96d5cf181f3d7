package kctbody

import (
	"errors"
	"strings"
	"testing"
)

// TestErrorText guards against errors that keep whole lines that an endpoint sent.
func TestErrorText(t *testing.T) {
	for _, text := range []string{"", "short", strings.Repeat("x", maxErrorText)} {
		if got := ErrorText(errors.New(text)); got != text {
			t.Errorf("%q became %q", text, got)
		}
	}
	got := ErrorText(errors.New("begin" + strings.Repeat("\xff", 1<<20) + "end"))
	if len(got) > maxErrorText+10 || !strings.HasPrefix(got, "begin") || !strings.HasSuffix(got, "end") || strings.Contains(got, "\xff") {
		t.Errorf("%d bytes: %q", len(got), got)
	}
}
