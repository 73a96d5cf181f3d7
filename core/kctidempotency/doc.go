// Package kctidempotency runs each non-idempotent request at most once. A caller gets
// an idempotency key from an entry and sends it with the request. Only the
// entry and incarnation that issued the key run the request, and they store its
// outcome until the key expires. No store, lease or shared clock is involved, so
// pauses, outages and changes of ownership cannot cause a second run.
package kctidempotency
