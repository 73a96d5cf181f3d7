// Package kctstop bounds the stop of a process: it waits for the process's parts
// until a deadline and logs those that have not ended by then.
package kctstop
