// Package kctbackend sends requests to endpoints over HTTP. It checks every reply
// against its request, and reports that a request did not run only when the endpoint
// reported it or no byte of the request was written.
package kctbackend
