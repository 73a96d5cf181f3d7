// Package kctusage measures the processor time that this process uses.
package kctusage
