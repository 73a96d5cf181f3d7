// Package kcthttp is the HTTP interface of an entry for callers and operators, with JSON bodies.
package kcthttp
