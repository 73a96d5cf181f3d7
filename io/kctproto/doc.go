// Package kctproto holds the messages between entries and their generated code.
package kctproto

//go:generate sh generate.sh
