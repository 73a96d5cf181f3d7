// Package kctreuse decides which requests may use a connection on which an
// endpoint has answered others: one that sends second copies of its answers
// may send one at any later moment.
package kctreuse
