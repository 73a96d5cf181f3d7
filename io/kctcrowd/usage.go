package kctcrowd

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// usageInterval is the interval at which the usage of a process is read.
const usageInterval = 10 * time.Millisecond

// Usage is the greatest use of resources that was seen of a process.
type Usage struct {
	// Memory is its resident memory in bytes, without what it shares with files, and Unread what its connections to one port have received and it has not
	// read.
	Memory, Unread int
	// Files is the number of its open file descriptors.
	Files int
}

// WatchUsage reads the usage of a process that listens at an address until the context ends; the channel then receives the greatest one.
func WatchUsage(ctx context.Context, pid int, at netip.AddrPort) <-chan Usage {
	done := make(chan Usage, 1)
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	go func() {
		var most Usage
		for ctx.Err() == nil {
			if memory, err := anonymousMemory(folder); err == nil {
				most.Memory = max(most.Memory, memory)
			}
			if files, err := os.ReadDir(filepath.Join(folder, "fd")); err == nil {
				most.Files = max(most.Files, len(files))
			}
			if unread, err := unreadBytes(at.Port()); err == nil {
				most.Unread = max(most.Unread, unread)
			}
			time.Sleep(usageInterval)
		}
		done <- most
	}()
	return done
}

// anonymousMemory returns the resident memory in bytes that a process does not share with files.
func anonymousMemory(folder string) (int, error) {
	data, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	line, _, _ := strings.Cut(rest, "kB")
	kib, err := strconv.Atoi(strings.TrimSpace(line))
	return kib << 10, err
}

// unreadBytes returns the number of bytes that wait in the receive queues of the connections to a port, also of those that are not accepted yet.
func unreadBytes(port uint16) (int, error) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const (
		local, state, queues = 1, 3, 4
		listening            = "0A"
	)
	suffix := fmt.Sprintf(":%04X", port)
	unread := 0
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= queues || fields[state] == listening || !strings.HasSuffix(fields[local], suffix) {
			continue
		}
		_, queue, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseUint(queue, 16, 32)
		if err != nil {
			return 0, err
		}
		unread += int(n)
	}
	return unread, nil
}
