// Package kctstutter holds a faulty HTTP/1.1 server, which breaks answers off
// and sends second copies of them, and a table of such cases. It imports nothing
// that uses it, so that tests of all readers of answers can share it.
package kctstutter
