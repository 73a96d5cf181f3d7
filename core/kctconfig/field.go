package kctconfig

import (
	"slices"
	"strconv"
	"strings"
	"time"

	kctport "kingcupturn"
)

// setter parses a value into its field of the policy; it returns false when the value is not allowed.
type setter func(policy *kctport.Policy, value string) bool

// field is one field of the policy that operators can set.
type field struct {
	name    string
	allowed string
	set     setter
}

// fields lists the policy's fields with the values that each accepts.
var fields = []field{
	{"objective", "a duration from 1ms to 1m", durationField(time.Millisecond, time.Minute, func(p *kctport.Policy) *time.Duration { return &p.Objective })},
	{"share", "a number from 0.5 to 0.99999", floatField(0.5, 0.99999, func(p *kctport.Policy) *float64 { return &p.ObjectiveShare })},
	{"deadline", "a duration from 1ms to 10m", durationField(time.Millisecond, 10*time.Minute, func(p *kctport.Policy) *time.Duration { return &p.Deadline })},
	{"hedge", "true or false", boolField(func(p *kctport.Policy) *bool { return &p.Hedge })},
	{"canary", "true or false", boolField(func(p *kctport.Policy) *bool { return &p.Canary })},
	{"budget", "a number from 0 to 0.1", floatField(0, 0.1, func(p *kctport.Policy) *float64 { return &p.Budget })},
	{"queue", "a whole number from 1 to 10000", intField(1, 10000, func(p *kctport.Policy) *int { return &p.Queue })},
	{"warmup", "a duration from 0s to 1h", durationField(0, time.Hour, func(p *kctport.Policy) *time.Duration { return &p.Warmup })},
}

// Fields returns the names of the policy's fields.
func Fields() []string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

// set returns the policy with one field replaced.
func set(policy kctport.Policy, name, value string) (kctport.Policy, error) {
	at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if at < 0 {
		return policy, invalid("field", name, "one of "+strings.Join(Fields(), ", "))
	}
	next := policy
	if !fields[at].set(&next, value) {
		return policy, invalid(name, value, fields[at].allowed)
	}
	return next, nil
}

func durationField(low, high time.Duration, fieldOf func(*kctport.Policy) *time.Duration) setter {
	return func(p *kctport.Policy, value string) bool {
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return false
		}
		*fieldOf(p) = d
		return true
	}
}

func floatField(low, high float64, fieldOf func(*kctport.Policy) *float64) setter {
	return func(p *kctport.Policy, value string) bool {
		x, err := strconv.ParseFloat(value, 64)
		// The negated comparison also refuses NaN.
		if err != nil || !(x >= low && x <= high) {
			return false
		}
		*fieldOf(p) = x
		return true
	}
}

func intField(low, high int, fieldOf func(*kctport.Policy) *int) setter {
	return func(p *kctport.Policy, value string) bool {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return false
		}
		*fieldOf(p) = n
		return true
	}
}

func boolField(fieldOf func(*kctport.Policy) *bool) setter {
	return func(p *kctport.Policy, value string) bool {
		if value != "true" && value != "false" {
			return false
		}
		*fieldOf(p) = value == "true"
		return true
	}
}
