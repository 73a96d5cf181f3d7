// Package kctroutetable matches a request's host and path to a route of the
// operator's rules, and splits the requests of a route among its target services
// by weight.
package kctroutetable
