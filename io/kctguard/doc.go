// Package kctguard bounds what clients of a process's listeners may take: it
// accepts connections within an account, keeps the limits of each part of an HTTP
// request, and closes the connections that give way.
package kctguard
