package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testGrace is the grace time of the entries of these tests.
const testGrace = 2 * time.Second

// startServing starts an entry on the users' platform without a store, with one file for standard output and error, nil for none; the cleanup kills it.
func startServing(t *testing.T, output *os.File) (cmd *exec.Cmd, config string, caller netip.AddrPort) {
	t.Helper()
	settings := map[string]any{"id": "e", "zone": "a", "store": freePort(t), "memory": 284, "grace": testGrace.String(), "ratio": 0.2, "slack": 58}
	for _, name := range []string{"ready", "directory", "metrics", "peer", "relay"} {
		settings[name] = freePort(t)
	}
	caller = freePort(t)
	settings["caller"] = caller
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	config = filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(filepath.Join(bin, "kingcupturn"), "serve", "--config", config)
	if output != nil {
		cmd.Stdout, cmd.Stderr = output, output
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// Killing a process that has ended has no effect.
		_ = cmd.Process.Kill()
	})
	return cmd, config, caller
}

// answered waits until an entry answers a request, which it refuses since it has no rules.
func answered(caller netip.AddrPort, id string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last error
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/", caller), nil)
		if err != nil {
			return err
		}
		r.Header.Set("Kingcupturn-Attempt-Id", id)
		response, err := client.Do(r)
		if err == nil {
			response.Body.Close()
			return nil
		}
		last = err
	}
	return last
}

// TestUnreadOutput guards against an entry whose standard output and error nobody reads and that no longer answers after an error, or never ends.
func TestUnreadOutput(t *testing.T) {
	reader, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer output.Close()
	if err := output.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = output.Write(make([]byte, 4096))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	cmd, config, caller := startServing(t, output)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	if err := answered(caller, "before"); err != nil {
		t.Fatalf("before the error: %v", err)
	}
	if err := os.WriteFile(config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := answered(caller, "after"); err != nil {
		t.Errorf("after settings that are not valid: %v", err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(testGrace):
		t.Errorf("the process still runs %v after SIGTERM", testGrace)
	}
}
