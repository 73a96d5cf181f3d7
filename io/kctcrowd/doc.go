// Package kctcrowd is a crowd of misbehaving clients for tests: many connections
// that send large, slow, unfinished or endless requests and stay open. It reads
// what a process takes meanwhile.
package kctcrowd
