//go:build cgo

package kctsignal

/*
#include <signal.h>

static void (*kct_inherited)(int);

// Until the Go runtime has started and all packages are initialized, a hangup would end the process.
__attribute__((constructor)) static void kct_ignore_hangup(void) { kct_inherited = signal(SIGHUP, SIG_IGN); }

static void kct_restore_hangup(void) { signal(SIGHUP, kct_inherited); }
*/
import "C"

// Restore lets a hangup end the process, unless the process was started with hangups ignored.
func Restore() {
	C.kct_restore_hangup()
}
