package kctbalance

import (
	"sync"

	kctport "kingcupturn"
)

const (
	// ratioShare keeps the fleet's extra attempts below the users' ratio in any sliding window and across restarts of entries.
	ratioShare = 0.85
	// slackShare is the part of the users' slack that all entries together may accumulate; a restarted entry begins with half of its share.
	slackShare = 0.6
)

// BudgetSettings is the users' bound on extra attempts at a service over all entries.
type BudgetSettings struct {
	// Ratio is the number of extra attempts per request for a service.
	Ratio float64
	// Slack is the number of extra attempts allowed above the ratio in one window.
	Slack float64
}

// Budget is a retry budget for each service, a token bucket; it bounds retries, hedges and repeats after a refusal.
type Budget struct {
	mu       sync.Mutex
	settings BudgetSettings
	shares   int
	tokens   map[kctport.ServiceName]float64
}

// NewBudget returns a budget in which each service begins with half of the tokens that an entry may accumulate.
func NewBudget(settings BudgetSettings) *Budget {
	return &Budget{settings: settings, shares: 1, tokens: map[kctport.ServiceName]float64{}}
}

// Update sets the bound and the number of shares into which the slack is divided.
func (b *Budget) Update(settings BudgetSettings, shares int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings, b.shares = settings, max(1, shares)
}

// capacity returns the largest number of tokens that a service may accumulate; the caller holds the lock.
func (b *Budget) capacity() float64 {
	return b.settings.Slack * slackShare / float64(b.shares)
}

// balance returns the tokens of a service; the caller holds the lock.
func (b *Budget) balance(service kctport.ServiceName) float64 {
	t, ok := b.tokens[service]
	if !ok {
		t = b.capacity() / 2
	}
	return min(t, b.capacity())
}

// Deposit adds the tokens that one request for the service earns.
func (b *Budget) Deposit(service kctport.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.capacity(), b.balance(service)+b.settings.Ratio*ratioShare)
}

// Withdraw takes the token of one extra attempt, or returns false when less than the reserve would remain; the reserve is a share of the capacity, 0
// to 1.
func (b *Budget) Withdraw(service kctport.ServiceName, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance-1 < reserve*b.capacity() {
		return false
	}
	b.tokens[service] = balance - 1
	return true
}

// Prune drops the tokens of services that are no longer in the rules.
func (b *Budget) Prune(rules *kctport.Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.tokens {
		if _, ok := rules.Services[name]; !ok {
			delete(b.tokens, name)
		}
	}
}
