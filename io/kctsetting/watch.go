package kctsetting

import (
	"context"
	"os"
	"time"

	kctport "kingcupturn"
)

// watchInterval is the time between two checks of the settings file, which may change without a signal.
const watchInterval = 2 * time.Second

// Watch calls reload with a reason on each signal and after each change of the file, until the context ends; the channel closes then.
func Watch(ctx context.Context, timer kctport.Timer, path string, signals <-chan os.Signal, reload func(reason string)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticks := timer.Subscribe(ctx, watchInterval)
		last := readVersion(path)
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				last = readVersion(path)
				reload("signal " + s.String())
			case <-ticks:
				if now := readVersion(path); now != last {
					last = now
					reload("the file has changed")
				}
			}
		}
	}()
	return done
}

// fileVersion identifies a version of a file by its modification time and its size in bytes.
type fileVersion struct {
	modified time.Time
	size     int64
}

// readVersion returns the zero version for a file that can't be examined; reloading it then reports the error.
func readVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
