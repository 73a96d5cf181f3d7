package kctoperator

import (
	"errors"
	"flag"

	kctport "kingcupturn"
)

// The exit codes of the commands.
const (
	CodeOK      = 0
	CodeError   = 1
	CodeUsage   = 2
	CodeRefused = 3
	CodeUnknown = 4
)

// codeHelp lists the exit codes in the help of the commands that submit a change.
const codeHelp = "Exit codes: 0 accepted, 1 other error, 2 usage, 3 refused, 4 unknown: the change may or may not take effect."

var (
	// errRefused means that the change was not applied and will not be.
	errRefused = errors.New("change refused")
	// errUsage means that the command line is invalid.
	errUsage = errors.New("usage")
)

// Code returns the exit code for the error of a command; CodeOK for nil.
func Code(err error) int {
	switch {
	case err == nil:
		return CodeOK
	case errors.Is(err, errUsage), errors.Is(err, flag.ErrHelp):
		return CodeUsage
	case errors.Is(err, errRefused):
		return CodeRefused
	case errors.Is(err, kctport.ErrUnknown):
		return CodeUnknown
	}
	return CodeError
}
