// Package kctplot writes line charts as SVG with the standard library only.
package kctplot
