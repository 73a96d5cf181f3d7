package kctsetting

import (
	"context"
	"os"
	"time"

	kctport "kingcupturn"
)

// watchInterval is how often the settings file is looked at, since it may change without a signal.
const watchInterval = 2 * time.Second

// Watch calls reload when a signal comes or the file has changed, until the context ends; the channel closes then.
func Watch(ctx context.Context, timer kctport.Timer, path string, signals <-chan os.Signal, reload func(why string)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticks := timer.Subscribe(ctx, watchInterval)
		last := stamp(path)
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				last = stamp(path)
				reload("signal " + s.String())
			case <-ticks:
				if now := stamp(path); now != last {
					last = now
					reload("the file has changed")
				}
			}
		}
	}()
	return done
}

// fileStamp tells two states of a file apart.
type fileStamp struct {
	changed time.Time
	size    int64
}

// stamp is zero for a file that can't be looked at; a reload then reports why.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
