// Package kctlog writes structured log lines to standard output without ever
// blocking the program: lines that a slow reader can't take are dropped and
// counted.
package kctlog
