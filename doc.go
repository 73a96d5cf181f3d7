// Package kctport holds the core types of kingcupturn and the interfaces of
// everything that varies: the policies that the core packages implement and the
// ports to the outside. Implementations are in the packages below core, io and
// platform.
package kctport
