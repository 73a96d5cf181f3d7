// Package kctslope measures how the cost of an entry grows with the size of the
// deployment, fits lines to the measurements and computes the cost at the target
// size from them. Run the command on an otherwise idle machine: CPU time is that
// of this process and includes the stand-ins unless they run in another process.
package kctslope
