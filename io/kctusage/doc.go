// Package kctusage measures the CPU time that this process uses.
package kctusage
