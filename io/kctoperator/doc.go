// Package kctoperator implements the operator commands for defaults, exceptions,
// zones, version moves and the history of changes. They use the operator API
// of any entry. All resends of a change carry the same identifier, so it is
// applied at most once whichever entries receive it.
package kctoperator
