package kctconfig

import (
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// maxText bounds each text of a request in bytes, so that many changes fit in the store's 1 MB record.
const maxText = 500

// Apply returns the configuration after a change with the next revision; the argument stays as it is.
//
// A refusal wraps ErrInvalid. ErrApplied comes with the unchanged
// configuration when the history holds the request's identifier.
func Apply(config kctport.Config, request kctport.ChangeRequest, now time.Time) (kctport.Config, error) {
	if request.ID == "" {
		return config, invalid("id", "", "a unique identifier")
	}
	if c, ok := FindChange(config, request.ID); ok {
		return config, eris.Wrapf(ErrApplied, "change %s at revision %d", c.ID, c.Revision)
	}
	if err := checkTexts(request); err != nil {
		return config, err
	}
	next, summary, err := change(config, request, now)
	if err != nil {
		return config, err
	}
	next.Revision = config.Revision + 1
	next.History = record(config.History, kctport.Change{
		ID: request.ID, Revision: next.Revision, Author: request.Author,
		At: now, Kind: request.Kind, Summary: summary,
	})
	return next, nil
}

// change applies a request of any kind and returns a summary for the history.
func change(config kctport.Config, r kctport.ChangeRequest, now time.Time) (kctport.Config, string, error) {
	switch r.Kind {
	case kctport.SetDefault:
		return setDefault(config, r)
	case kctport.AddException:
		return addException(config, r.Exception)
	case kctport.RemoveException:
		return removeException(config, r.Exception.Name)
	case kctport.TakeZoneOut:
		return takeZoneOut(config, r.Zone)
	case kctport.ReturnZone:
		return returnZone(config, r.Zone.Zone)
	case kctport.StartMove:
		return startMove(config, r, now)
	case kctport.UpdateMove:
		return updateMove(config, r.Move)
	}
	return config, "", invalid("kind", string(r.Kind),
		"one of default, exception, unexception, zoneout, zonein, move, progress")
}

// checkTexts bounds what a request can add to the stored record.
func checkTexts(r kctport.ChangeRequest) error {
	texts := []struct{ field, value string }{
		{"id", r.ID},
		{"author", r.Author},
		{"field", r.Field},
		{"value", r.Value},
		{"name", r.Exception.Name},
		{"service", string(r.Exception.Service)},
		{"field", r.Exception.Field},
		{"value", r.Exception.Value},
		{"reason", r.Exception.Reason},
		{"zone", string(r.Zone.Zone)},
		{"reason", r.Zone.Reason},
		{"move", r.Move.ID},
		{"service", string(r.Move.Service)},
		{"from", string(r.Move.From)},
		{"to", string(r.Move.To)},
		{"evidence", r.Move.Evidence},
		{"holder", string(r.Move.Holder)},
	}
	for _, t := range texts {
		if len(t.value) > maxText || !utf8.ValidString(t.value) {
			shown := t.value[:min(len(t.value), 40)]
			return invalid(t.field, shown, "valid UTF-8 of at most 500 bytes")
		}
	}
	return nil
}

// required refuses the first empty value.
func required(pairs ...string) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			return invalid(pairs[i], "", "set")
		}
	}
	return nil
}
