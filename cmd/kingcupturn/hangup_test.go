package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// handlesHangup reports whether a process ignores or catches hangups.
func handlesHangup(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64); (name == "SigIgn" || name == "SigCgt") && err == nil && mask>>(syscall.SIGHUP-1)&1 == 1 {
			return true
		}
	}
	return false
}

// TestHangupWhileStarting guards against an entry that a change of its settings in its first milliseconds ends. Nothing can be done about a hangup before the
// process has loaded its libraries.
func TestHangupWhileStarting(t *testing.T) {
	for range 3 {
		cmd, _, caller := startServing(t, nil)
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		for deadline := time.Now().Add(5 * time.Second); !handlesHangup(cmd.Process.Pid) && time.Now().Before(deadline); {
			time.Sleep(100 * time.Microsecond)
		}
		for range 20 {
			// An error means that the process has ended, which is found out below.
			_ = cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Millisecond)
		}
		if err := answered(caller, "1"); err != nil {
			t.Errorf("after hangups during the start: %v", err)
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the process ended with %v", err)
			}
		case <-time.After(testGrace):
			t.Errorf("the process still runs %v after SIGTERM", testGrace)
		}
	}
}

// TestHangupOfCommand guards against a command that a hangup no longer ends, and against one that it ends although it was started with hangups ignored.
func TestHangupOfCommand(t *testing.T) {
	for name, c := range map[string]struct {
		prefix string
		ends   bool
	}{"plain": {"", true}, "nohup": {"trap '' HUP; ", false}} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command("sh", "-c", c.prefix+`exec "$@"`, "sh", filepath.Join(bin, "kingcupturn"), "entry", "--id", "e", "--zone", "a",
				"--peer", freePort(t).String(), "--caller", freePort(t).String(), "--platform", freePort(t).String())
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(500*time.Millisecond, func() {
				// Killing a process that has ended has no effect.
				_ = cmd.Process.Kill()
			})
			// The end by a signal is an error, and expected.
			_ = cmd.Wait()
			if got := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(); (got == syscall.SIGHUP) != c.ends {
				t.Errorf("ended by %v, want by the hangup: %t", got, c.ends)
			}
		})
	}
}
