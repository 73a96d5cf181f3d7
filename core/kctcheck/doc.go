// Package kctcheck checks invariants in the running program. It counts each
// violation and reports it with its evidence, so that a fault is visible in
// metrics and logs and not only as a wrong answer.
package kctcheck
