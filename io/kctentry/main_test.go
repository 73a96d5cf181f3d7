package kctentry

import (
	"io"
	"log"
	"os"
	"testing"
)

// TestMain discards the log of net/http, which reports each unsolicited reply on a connection; the tests cause thousands.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
