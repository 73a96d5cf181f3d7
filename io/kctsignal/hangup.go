package kctsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups returns a channel of the hangups from now on. It holds one, which is enough to read the settings again; one that came before is ignored, so that the
// settings must be read after the call.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
