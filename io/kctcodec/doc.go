// Package kctcodec encodes and decodes the JSON documents exchanged with
// operators and the store: the configuration, change requests and change results.
//
// Field names are one word, durations are Go duration strings and times are
// RFC 3339. Unknown fields are refused in operator input, so that misspelt
// fields are noticed, and ignored in the stored document, so that entries of
// two releases can share it. All errors wrap ErrInvalid.
package kctcodec
