// Package kctnode wires an entry that runs on the users' platform: entries
// share state only through the store, and each sends to endpoints itself.
package kctnode
