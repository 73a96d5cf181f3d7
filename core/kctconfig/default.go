package kctconfig

import (
	"time"

	kctport "kingcupturn"
)

// Default returns the configuration that applies before the first change; its revision is 0.
func Default() kctport.Config {
	return kctport.Config{Defaults: kctport.Policy{
		// The target on the design page is 210 ms for 99% of the answers.
		Objective:      210 * time.Millisecond,
		ObjectiveShare: 0.99,
		Deadline:       time.Second,
		Hedge:          true,
		Canary:         true,
		// Extra attempts stay under 5% of the needed ones in normal operation.
		Budget: 0.05,
		Queue:  64,
		Warmup: 30 * time.Second,
	}}
}

// EffectivePolicy returns the policy of a service: the defaults with its exceptions applied.
func EffectivePolicy(config kctport.Config, service kctport.ServiceName) kctport.Policy {
	policy := config.Defaults
	for _, e := range config.Exceptions {
		if e.Service != service {
			continue
		}
		// Stored values were checked when they were accepted; one that is no longer valid is ignored.
		if next, err := set(policy, e.Field, e.Value); err == nil {
			policy = next
		}
	}
	return policy
}

// Newer reports whether the candidate has a higher revision than the current configuration.
func Newer(current, candidate kctport.Config) bool {
	return candidate.Revision > current.Revision
}
