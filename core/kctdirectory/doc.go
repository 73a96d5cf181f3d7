// Package kctdirectory decides which entries a caller should connect to.
package kctdirectory
