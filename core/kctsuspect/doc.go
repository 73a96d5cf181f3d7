// Package kctsuspect finds request bodies that crash endpoints. When a
// connection is reset without a reply, the bodies in flight at that endpoint
// become suspect. An endpoint runs at most one suspect body at a time, so that
// the next crash is attributed to that body and to no other. A body to which
// CrashLimit crashes are attributed is refused for a time.
package kctsuspect
