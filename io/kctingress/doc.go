// Package kctingress serves callers' requests over HTTP/1.1 and passes them to
// a kctport.Forwarder.
package kctingress
