// Package kctretry bounds extra attempts: a token budget shared by retries and
// hedges, and the delay after which an unanswered part is hedged.
package kctretry
