package kctoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	kctport "kingcupturn"
	"kingcupturn/core/kctconfig"
	"kingcupturn/io/kctcodec"
)

// fakeTier is the state that stand-in entries share.
type fakeTier struct {
	mu      sync.Mutex
	config  kctport.Config
	inForce int
}

// apply applies a change as an entry does; each call raises the number of entries with the change in force by one, up to 3.
func (f *fakeTier) apply(r kctport.ChangeRequest) kctport.ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce = min(3, f.inForce+1)
	next, err := kctconfig.Apply(f.config, r, time.Now())
	f.config = next
	if c, ok := kctconfig.FindChange(next, r.ID); ok {
		return kctport.ChangeResult{Outcome: kctport.Accepted, Revision: c.Revision, Message: c.Summary, InForce: f.inForce, Members: 3}
	}
	return kctport.ChangeResult{Outcome: kctport.Refused, Revision: next.Revision, Message: err.Error()}
}

func (f *fakeTier) revision() kctport.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Revision
}

// startEntry starts a stand-in entry and returns its address; with dropReplies it closes the connection after applying a change.
func (f *fakeTier) startEntry(t *testing.T, dropReplies bool) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		data, _ := kctcodec.EncodeConfig(f.config)
		_, _ = w.Write(data)
	})
	mux.HandleFunc("POST /v1/changes", func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		request, err := kctcodec.DecodeChange(data)
		if err != nil {
			t.Errorf("request %s: %v", data, err)
		}
		result, _ := kctcodec.EncodeResult(f.apply(request))
		if dropReplies {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(result)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// command runs one command line and returns its output and exit code.
func command(line ...string) (string, int) {
	var out, errs bytes.Buffer
	root := &ffcli.Command{Subcommands: New(&out, &errs)}
	if err := root.Parse(line); err != nil {
		return out.String(), CodeUsage
	}
	code := Code(root.Run(context.Background()))
	return out.String(), code
}

// closedAddress returns an address that refuses connections.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against wrong exit codes, and against a change that is applied twice or reported with a wrong outcome
// after an entry was unreachable or dropped its reply.
func TestOutcomes(t *testing.T) {
	f := &fakeTier{config: kctconfig.Default()}
	good, dropping, unreachable := f.startEntry(t, false), f.startEntry(t, true), closedAddress()
	rows := []struct {
		line     string
		code     int
		revision kctport.Revision
		output   string
	}{
		{"default set queue 7 --entry " + good, CodeOK, 1, "accepted at revision 1"},
		{"default set budget 0.2 --entry " + good, CodeRefused, 1, "refused at revision 1: budget \"0.2\""},
		{"zone out a --reason power --entry " + unreachable + " --entry " + good, CodeOK, 2, "accepted at revision 2"},
		{"zone out b --reason power --entry " + dropping + " --entry " + good, CodeOK, 3, "accepted at revision 3"},
		{"zone in b --entry " + dropping, CodeUnknown, 4, "unknown: "},
		{"zone out a --reason power --entry " + dropping + "," + good, CodeUnknown, 4, "unknown: "},
		{"zone in a --entry " + unreachable, CodeError, 4, ""},
		{"zone in --entry " + good, CodeUsage, 4, ""},
		{"zone in a", CodeUsage, 4, ""},
		{"zone in a --wrong --entry " + good, CodeUsage, 4, ""},
		{"zone", CodeUsage, 4, ""},
		{"move start s --from 1 --to 2 --deadline soon --entry " + good, CodeUsage, 4, ""},
		{"move start s --from 1 --to 2 --deadline 10m --entry " + good, CodeOK, 5, "accepted at revision 5"},
		{"exception add --name n --service s --reason r hedge false --entry " + good, CodeOK, 6, "accepted at revision 6"},
		{"exception remove n --wait --entry " + good, CodeOK, 7, "in force on 3 of 3"},
	}
	for _, r := range rows {
		output, code := command(strings.Fields(r.line)...)
		if code != r.code || f.revision() != r.revision || !strings.Contains(output, r.output) {
			t.Errorf("%s: code %d, revision %d, output %q; want %d, %d, %q", r.line, code, f.revision(), output, r.code, r.revision, r.output)
		}
	}
}

// Guards against --wait returning before every live entry has the change in force.
func TestWait(t *testing.T) {
	f := &fakeTier{config: kctconfig.Default()}
	output, code := command("zone", "out", "a", "--reason", "r", "--wait", "--entry", f.startEntry(t, false))
	if code != CodeOK || !strings.Contains(output, "in force on 3 of 3") || f.revision() != 1 {
		t.Errorf("code %d, revision %d, output %q", code, f.revision(), output)
	}
}

// Guards against lists that omit a field of the configuration, and against --json output that isn't valid JSON.
func TestLists(t *testing.T) {
	f := &fakeTier{config: kctconfig.Default()}
	f.config.Exceptions = []kctport.Exception{{Name: "n", Service: "s", Field: "hedge", Value: "false", Reason: "old caller"}}
	f.config.ZonesOut = []kctport.ZoneOut{{Zone: "z", Reason: "power"}}
	f.config.Moves = []kctport.Move{{ID: "m", Service: "s", From: "1", To: "2", State: kctport.MoveReverted, Evidence: "9 of 10 failed"}}
	f.config.History = []kctport.Change{{ID: "c", Revision: 4, Author: "ann", Kind: kctport.TakeZoneOut, Summary: "zone z out"}}
	at := f.startEntry(t, false)
	for line, words := range map[string]string{
		"default show":   "objective  210ms",
		"exception list": "n     s        hedge  false  old caller",
		"zone list":      "z     power",
		"move show":      "9 of 10 failed",
		"history":        "ann",
	} {
		output, code := command(append(strings.Fields(line), "--entry", at)...)
		if code != CodeOK || !strings.Contains(output, words) {
			t.Errorf("%s: code %d, output\n%s", line, code, output)
		}
		output, code = command(append(strings.Fields(line), "--json", "--entry", at)...)
		if code != CodeOK || !json.Valid([]byte(output)) {
			t.Errorf("%s --json: code %d, output\n%s", line, code, output)
		}
	}
	if _, code := command("move", "show", "--wait", "--entry", at); code != CodeError {
		t.Errorf("move show --wait of a reverted move: code %d", code)
	}
}

func ExampleCode() {
	_, code := command("zone", "in", "a")
	fmt.Println(code)
	// Output: 2
}
