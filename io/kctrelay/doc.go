// Package kctrelay carries attempts between entries of different zones:
// protobuf messages on one yamux stream for each pair of entries. The asking
// entry writes a caller's request once and each attempt with a few bytes; the
// other one writes the end of each attempt as it comes.
package kctrelay
