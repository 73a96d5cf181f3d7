// Package kctentry wires the core packages and the adapters into one entry daemon.
package kctentry
