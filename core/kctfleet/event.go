package kctfleet

import (
	kctport "kingcupturn"
)

// event is a change of the control state; one without a message is published but not logged.
type event struct {
	message string
	key     string
	version kctport.RulesVersion
	detail  string
}

// changeEvent describes a record that was written; old is nil for a new record.
func changeEvent(old *record, c kctport.RegistryChange) event {
	e := event{message: "record changed", key: c.Key, detail: c.Problem}
	if old == nil {
		e.message = "record new"
	}
	switch {
	case c.Problem != "":
		e.message = "record unusable"
	case c.Endpoint != nil && c.Endpoint.Leaving:
		e.detail = "leaving"
	case c.Endpoint != nil && c.Endpoint.ColdRemaining > 0:
		e.detail = "cold for " + c.Endpoint.ColdRemaining.String()
	case c.Reader != nil:
		e.detail = "reader " + string(c.Reader.ID)
	}
	return e
}
