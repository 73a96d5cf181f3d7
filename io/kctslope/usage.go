package kctslope

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// usage is the resource use of this process since its start.
type usage struct {
	at      time.Time
	cpuTime time.Duration
	// ioBytes is the number of bytes read and written by system calls, sockets included.
	ioBytes uint64
}

func readUsage(timer kctport.Timer) (usage, error) {
	u := usage{at: timer.Now()}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, eris.Wrap(err, "getrusage")
	}
	u.cpuTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return u, eris.Wrap(err, "read I/O counts")
	}
	var in, out uint64
	if _, err := fmt.Sscanf(string(data), "rchar: %d\nwchar: %d", &in, &out); err != nil {
		return u, eris.Wrap(err, "parse I/O counts")
	}
	u.ioBytes = in + out
	return u, nil
}

// usageDelta is the difference between two usage values.
type usageDelta struct {
	elapsed time.Duration
	cpuTime time.Duration
	ioBytes uint64
}

// measureUsage returns the resources that this process used while f ran.
func measureUsage(timer kctport.Timer, f func() error) (usageDelta, error) {
	before, err := readUsage(timer)
	if err != nil {
		return usageDelta{}, err
	}
	if err := f(); err != nil {
		return usageDelta{}, err
	}
	after, err := readUsage(timer)
	return usageDelta{
		elapsed: after.at.Sub(before.at), cpuTime: after.cpuTime - before.cpuTime, ioBytes: after.ioBytes - before.ioBytes,
	}, err
}

// residentMemory returns the resident set size of this process in bytes.
func residentMemory() (uint64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, eris.Wrap(err, "read memory size")
	}
	var size, pages uint64
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		return 0, eris.Wrap(err, "parse memory size")
	}
	return pages * uint64(os.Getpagesize()), nil
}

// liveMemory returns the bytes of live heap objects and stacks after a garbage collection.
func liveMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
