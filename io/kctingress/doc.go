// Package kctingress serves callers' requests over HTTP/1.1 and hands them to
// a kctport.Forwarder.
package kctingress
