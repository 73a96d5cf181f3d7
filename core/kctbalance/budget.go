package kctbalance

import (
	"sync"

	kctport "kingcupturn"
)

const (
	// ratioShare keeps the fleet's extra attempts below the users' ratio, since windows slide and entries restart.
	ratioShare = 0.85
	// slackShare is the part of the users' slack that entries save up together; a restarted entry begins with half of its own.
	slackShare = 0.6
)

// BudgetSettings is the users' bound on extra attempts at a service over all entries.
type BudgetSettings struct {
	// Ratio is the share of a service's requests.
	Ratio float64
	// Slack is the number that is allowed beyond the share in one window.
	Slack float64
}

// Budget bounds the extra attempts at each service: retries, hedges and repeats after a refusal.
type Budget struct {
	mu       sync.Mutex
	settings BudgetSettings
	sharers  int
	tokens   map[kctport.ServiceName]float64
}

// NewBudget returns a budget whose services begin with half of what an entry may save up.
func NewBudget(settings BudgetSettings) *Budget {
	return &Budget{settings: settings, sharers: 1, tokens: map[kctport.ServiceName]float64{}}
}

// Update takes new settings and the number of entries that share the slack.
func (b *Budget) Update(settings BudgetSettings, sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings, b.sharers = settings, max(1, sharers)
}

// saved is the largest number of attempts that a service may have saved up; the caller holds the lock.
func (b *Budget) saved() float64 {
	return b.settings.Slack * slackShare / float64(b.sharers)
}

func (b *Budget) balance(service kctport.ServiceName) float64 {
	t, ok := b.tokens[service]
	if !ok {
		t = b.saved() / 2
	}
	return min(t, b.saved())
}

// Deposit counts one request for the service.
func (b *Budget) Deposit(service kctport.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.saved(), b.balance(service)+b.settings.Ratio*ratioShare)
}

// Withdraw takes one extra attempt, or reports false when it would leave less than the reserve, a share of what may be saved up.
func (b *Budget) Withdraw(service kctport.ServiceName, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance-1 < reserve*b.saved() {
		return false
	}
	b.tokens[service] = balance - 1
	return true
}

// Prune drops services that the rules no longer name.
func (b *Budget) Prune(rules *kctport.Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.tokens {
		if _, ok := rules.Services[name]; !ok {
			delete(b.tokens, name)
		}
	}
}
