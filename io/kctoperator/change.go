package kctoperator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctcodec"
)

// pollInterval is the time between two polls while a command waits.
const pollInterval = 500 * time.Millisecond

// change submits a change under a new identifier and prints its outcome.
// The error wraps errRefused for a refused change and ErrUnknown for an unknown outcome.
func (t *cli) change(ctx context.Context, request kctport.ChangeRequest) error {
	request.ID, request.Author = t.newID(), t.author
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	body, err := kctcodec.EncodeChange(request)
	if err != nil {
		return err
	}
	result, err := t.submit(ctx, body)
	if err != nil {
		return err
	}
	waitErr := error(nil)
	if t.wait && result.Outcome == kctport.Accepted {
		result, waitErr = t.waitInForce(ctx, body, result)
	}
	if err := t.printResult(result); err != nil {
		return err
	}
	switch result.Outcome {
	case kctport.Accepted:
		return waitErr
	case kctport.Refused:
		return eris.Wrapf(errRefused, "identifier %s", request.ID)
	}
	return eris.Wrapf(kctport.ErrUnknown, "identifier %s", request.ID)
}

// submit sends the change to one entry after another until one returns its outcome.
// The error wraps ErrUnavailable when no entry can have applied the change.
func (t *cli) submit(ctx context.Context, body []byte) (kctport.ChangeResult, error) {
	var failures []error
	maybeApplied := false
	for _, e := range t.entries {
		data, err := t.request(ctx, e, http.MethodPost, "/v1/changes", body)
		if errors.Is(err, kctport.ErrInvalid) {
			return refusedOrUnknown(maybeApplied, kctport.ChangeResult{Outcome: kctport.Refused, Message: err.Error()}), nil
		}
		if err != nil {
			failures = append(failures, err)
			maybeApplied = maybeApplied || !errors.Is(err, kctport.ErrNotRun)
			continue
		}
		result, err := kctcodec.DecodeResult(data)
		if err == nil && result.Outcome != kctport.Unknown {
			return refusedOrUnknown(maybeApplied, result), nil
		}
		maybeApplied = true
		failures = append(failures, eris.Errorf("entry %s: %s", e, result.Message))
	}
	if maybeApplied {
		return kctport.ChangeResult{Outcome: kctport.Unknown, Message: errors.Join(failures...).Error()}, nil
	}
	return kctport.ChangeResult{}, eris.Wrapf(kctport.ErrUnavailable, "no entry took the change: %v", errors.Join(failures...))
}

// refusedOrUnknown changes a refusal to an unknown outcome when an earlier entry may still apply the change.
func refusedOrUnknown(maybeApplied bool, result kctport.ChangeResult) kctport.ChangeResult {
	if maybeApplied && result.Outcome == kctport.Refused {
		result.Outcome = kctport.Unknown
		result.Message = "an entry that did not answer may still make the change; another says: " + result.Message
	}
	return result
}

// waitInForce resends the change until every live entry has it in force; the identifier keeps it from being applied again.
// The error wraps ErrTimeout when the context ends first.
func (t *cli) waitInForce(ctx context.Context, body []byte, result kctport.ChangeResult) (kctport.ChangeResult, error) {
	for result.InForce < result.Members || result.Members == 0 {
		select {
		case <-ctx.Done():
			return result, eris.Wrapf(kctport.ErrTimeout, "accepted, but in force on %d of %d live entries after %s", result.InForce, result.Members, t.timeout)
		case <-t.timer.After(ctx, pollInterval):
		}
		if next, err := t.submit(ctx, body); err == nil && next.Outcome == kctport.Accepted {
			result = next
		}
	}
	return result, nil
}

func (t *cli) printResult(r kctport.ChangeResult) error {
	if t.json {
		return t.printJSON(kctcodec.EncodeResult(r))
	}
	text := fmt.Sprintf("%s at revision %d", r.Outcome, r.Revision)
	if r.Outcome == kctport.Unknown || r.Revision == 0 {
		text = string(r.Outcome)
	}
	if r.Outcome == kctport.Accepted {
		text += fmt.Sprintf(", in force on %d of %d live entries", r.InForce, r.Members)
	}
	_, err := fmt.Fprintf(t.stdout, "%s: %s\n", text, r.Message)
	return err
}
