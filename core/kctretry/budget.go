package kctretry

import "sync/atomic"

const (
	// tokenUnit is one extra attempt in the fixed-point token count.
	tokenUnit = 1_000_000
	// maxShare is the upper bound of the share of extra attempts per first attempt.
	maxShare = 0.1
	// earnedShare is the fraction of the share that a first attempt deposits. The rest
	// leaves room for the saved tokens, so that the extra load stays under the share in
	// every period of 12,000 first attempts, 230 queries to 53 endpoints.
	earnedShare = 0.9
	// defaultStart lets a newly started entry retry before its first deposits amount to a token.
	defaultStart = 5
	// defaultBurst bounds the tokens saved up while there are no failures, which a
	// fault could otherwise release at once. It covers the retries of one query to
	// 53 endpoints.
	defaultBurst = 6
)

// Budget is a token bucket that first attempts fill and extra attempts drain; it is safe for concurrent use.
type Budget struct {
	share  func() float64
	burst  int64
	tokens atomic.Int64
}

// BudgetOption changes a Budget at construction.
type BudgetOption func(*Budget)

// WithStart sets the number of extra attempts available before any first attempt.
func WithStart(attempts int) BudgetOption {
	return func(b *Budget) { b.tokens.Store(int64(attempts) * tokenUnit) }
}

// WithBurst sets the largest number of extra attempts that deposits can save up.
func WithBurst(attempts int) BudgetOption {
	return func(b *Budget) { b.burst = int64(attempts) * tokenUnit }
}

// NewBudget returns a Budget that keeps extra attempts under share() times the first attempts; shares above 0.1 count as 0.1.
func NewBudget(share func() float64, opts ...BudgetOption) *Budget {
	b := &Budget{share: share, burst: defaultBurst * tokenUnit}
	b.tokens.Store(defaultStart * tokenUnit)
	for _, o := range opts {
		o(b)
	}
	return b
}

// Deposit implements kctport.Budget.
func (b *Budget) Deposit() {
	earned := int64(earnedShare * min(max(b.share(), 0), maxShare) * tokenUnit)
	for {
		t := b.tokens.Load()
		n := min(t+earned, max(b.burst, t))
		if n == t || b.tokens.CompareAndSwap(t, n) {
			return
		}
	}
}

// Withdraw implements kctport.Budget.
func (b *Budget) Withdraw() bool {
	for {
		t := b.tokens.Load()
		if t < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-tokenUnit) {
			return true
		}
	}
}

// Available returns the number of extra attempts that the saved tokens allow, with fractions.
func (b *Budget) Available() float64 {
	return float64(b.tokens.Load()) / tokenUnit
}
