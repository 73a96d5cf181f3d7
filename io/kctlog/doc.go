// Package kctlog writes structured log lines to standard output without
// blocking the program: when the reader of standard output is too slow, lines
// are dropped and counted.
package kctlog
