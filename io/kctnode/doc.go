// Package kctnode wires an entry that runs on the users' platform: the store
// is the only thing that entries share, and each sends to endpoints itself.
package kctnode
