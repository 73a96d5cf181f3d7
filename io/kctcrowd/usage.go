package kctcrowd

import (
	"context"
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
	// Memory is its resident memory in bytes, without what it shares with files.
	Memory int
	// Files is the number of its open file descriptors.
	Files int
}

// WatchUsage reads the usage of a process until the context ends; the channel then receives the greatest one.
func WatchUsage(ctx context.Context, pid int) <-chan Usage {
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
