package kctconfig

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
)

// MaxHistory is the number of changes kept; it keeps the record far below the store's limit of 1 MB.
const MaxHistory = 1000

// ErrApplied means that the history already has the request's identifier, so nothing was changed.
var ErrApplied = errors.New("change already applied")

// FindChange returns the change with an identifier, and false when it is not, or no longer, in the history.
func FindChange(config kctport.Config, changeID string) (kctport.Change, bool) {
	at := slices.IndexFunc(config.History, func(c kctport.Change) bool { return c.ID == changeID })
	if at < 0 {
		return kctport.Change{}, false
	}
	return config.History[at], true
}

// appendHistory returns the history with one more change, without the oldest ones beyond MaxHistory.
func appendHistory(history []kctport.Change, change kctport.Change) []kctport.Change {
	skip := max(0, len(history)+1-MaxHistory)
	next := make([]kctport.Change, 0, len(history)+1-skip)
	next = append(next, history[skip:]...)
	return append(next, change)
}

// invalid returns an error that wraps ErrInvalid and states the field, its value and what is allowed.
func invalid(field, value, allowed string) error {
	return eris.Wrapf(kctport.ErrInvalid, "%s %q: must be %s", field, value, allowed)
}
