// Package kctegress sends requests to endpoints over HTTP/1.1.
//
// It manages its own connections instead of using http.Transport, to detect
// whether any byte of a request was sent, to reject idle connections with
// unread bytes, and to match each answer to its request. Messages are read and
// written with net/http.
package kctegress
