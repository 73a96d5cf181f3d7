// Package kctanswer reads HTTP/1.1 answers from a connection, and tells those
// that are one answer of one server from bytes that may be parts of several: a
// faulty server may break off an answer, or send second copies of it at any
// later moment.
package kctanswer
