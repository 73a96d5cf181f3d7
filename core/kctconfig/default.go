package kctconfig

import (
	"time"

	kctport "kingcupturn"
)

// Default returns the configuration that applies before the first change; its revision is 0.
func Default() kctport.Config {
	return kctport.Config{Defaults: kctport.Policy{
		// 210 ms for 99 in 100 answers is the target on the design page.
		Objective:      210 * time.Millisecond,
		ObjectiveShare: 0.99,
		Deadline:       time.Second,
		Hedge:          true,
		Canary:         true,
		// Extra load stays under 5% in normal operation.
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
		// Stored values were checked when they were accepted; one that no longer parses leaves the default in force.
		if next, err := set(policy, e.Field, e.Value); err == nil {
			policy = next
		}
	}
	return policy
}

// Newer reports whether the candidate replaces the current configuration.
func Newer(current, candidate kctport.Config) bool {
	return candidate.Revision > current.Revision
}
