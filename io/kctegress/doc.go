// Package kctegress sends requests to endpoints over HTTP/1.1.
//
// It keeps its own connections, since the tier must know whether a request
// has left, must not use a connection on which bytes are left over, and must
// match each answer to its request. Messages are read and written by net/http.
package kctegress
