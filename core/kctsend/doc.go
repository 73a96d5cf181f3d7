// Package kctsend sends one attempt at a part to its endpoint: directly
// through the endpoint's gate when this entry owns it, otherwise through the
// owner. As the last step before a request leaves, it checks that the view is
// fresh, that this entry owns the endpoint and that the body is not
// quarantined.
package kctsend
