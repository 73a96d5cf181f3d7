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
	case c.Server != nil && c.Server.Leaving:
		e.detail = "leaving"
	case c.Server != nil && c.Server.Cold > 0:
		e.detail = "cold for " + c.Server.Cold.String()
	case c.Reader != nil:
		e.detail = "reader " + string(c.Reader.ID)
	}
	return e
}
