// Package kctquota decides how much memory and how many connections clients may
// hold before they are served, and which of them gives way when either is short.
//
// All listeners of a process share one Account. A connection's Holder takes from
// it before more of a request is read, and gives back when the request ends.
package kctquota
