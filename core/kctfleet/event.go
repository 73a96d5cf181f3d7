package kctfleet

import (
	kctport "kingcupturn"
)

// event is one change of what this entry believes, for the log.
type event struct {
	what    string
	key     string
	version kctport.RulesVersion
	detail  string
}

// changed describes a record that was written.
func changed(old *record, c kctport.RegistryChange) event {
	e := event{what: "record changed", key: c.Key, detail: c.Problem}
	if old == nil {
		e.what = "record new"
	}
	switch {
	case c.Problem != "":
		e.what = "record unusable"
	case c.Endpoint != nil && c.Endpoint.Leaving:
		e.detail = "leaving"
	case c.Endpoint != nil && c.Endpoint.ColdRemaining > 0:
		e.detail = "cold for " + c.Endpoint.ColdRemaining.String()
	case c.Reader != nil:
		e.detail = "reader " + string(c.Reader.ID)
	}
	return e
}
