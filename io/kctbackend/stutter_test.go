package kctbackend_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"testing"
	"time"

	kctport "kingcupturn"
	"kingcupturn/io/kctbackend"
	"kingcupturn/io/kctstutter"
	"kingcupturn/io/kcttimer"
	"kingcupturn/io/kctwire"
)

const (
	// stutterTime is the time for each request of the table.
	stutterTime = 400 * time.Millisecond
	// statusCheck stands in a row of the table for a status check, beside the status codes of calls.
	statusCheck = 0
)

// stutterRows lists the status codes of the answers to three requests in a row.
var stutterRows = map[string][3]int{
	"calls":          {http.StatusOK, http.StatusTooManyRequests, http.StatusOK},
	"refused calls":  {http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusOK},
	"status checks":  {statusCheck, statusCheck, statusCheck},
	"check and call": {statusCheck, http.StatusTooManyRequests, statusCheck},
}

// stutterCall returns the call of a row with a number.
func stutterCall(n int) kctport.PartCall {
	return kctport.PartCall{
		Request: fmt.Sprintf("request-%d", n), Part: kctport.Part{Service: "s"}, Shards: 1, Snapshot: 7, Body: []byte("b"), Deadline: time.Now().Add(stutterTime),
	}
}

// stutterItems returns the items of the answer with a number.
func stutterItems(n int) []kctwire.Item { return []kctwire.Item{{ID: strconv.Itoa(n), Score: 1}} }

// stutterAnswer returns an answer of a row.
func stutterAnswer(t *testing.T, n, status int, checks *int) kctstutter.StutterAnswer {
	t.Helper()
	var reply any
	request := stutterCall(n).Request
	switch status {
	case statusCheck:
		*checks++
		status, reply = http.StatusOK, map[string]any{"request": strconv.Itoa(*checks), "boot": 1 + n, "inflight": n}
	case http.StatusOK:
		r := &kctwire.PartReply{Request: request, Service: "s", Shards: 1, Snapshot: 7, Count: 1, Items: stutterItems(n)}
		r.Checksum = kctwire.Checksum(r)
		reply = r
	case http.StatusTooManyRequests:
		reply = kctwire.Refusal{Request: request, Code: kctwire.CodeShed, Ran: kctwire.RanNo}
	default:
		reply = kctwire.Refusal{Request: request, Code: kctwire.CodeFailed, Ran: kctwire.RanUnknown}
	}
	body, err := json.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	return kctstutter.StutterAnswer{ID: request, Status: status, Body: string(body)}
}

// isDropped reports whether an error is that of a request without a usable answer.
func isDropped(err error) bool {
	return errors.Is(err, kctport.ErrUnknown) && (errors.Is(err, kctport.ErrMismatch) || errors.Is(err, kctport.ErrReset) || errors.Is(err, kctport.ErrTimeout))
}

// callOutcome sends the call of a row with a number and says whether its outcome is right, wrong or that of an answer that was dropped.
func callOutcome(client *kctbackend.Client, s *kctstutter.StutterServer, n, status int) (string, error) {
	reply, err := client.Call(context.Background(), kctport.Endpoint{ID: "i", Address: s.Address}, stutterCall(n))
	kind, ran := error(nil), kctport.ErrNotRun
	switch status {
	case http.StatusTooManyRequests:
		kind = kctport.ErrShed
	case http.StatusInternalServerError:
		kind, ran = kctport.ErrFailed, kctport.ErrUnknown
	}
	switch {
	case err == nil && kind == nil && reflect.DeepEqual(reply.Items, kctwire.Items(stutterItems(n))), kind != nil && errors.Is(err, kind) && errors.Is(err, ran):
		return "right", nil
	case isDropped(err), errors.Is(err, kctport.ErrNotRun) && !s.Received(stutterCall(n).Request):
		return "failed", err
	}
	return "wrong", fmt.Errorf("reply %+v, error %w", reply, err)
}

// checkOutcome makes the status check of a row with a number, as callOutcome.
func checkOutcome(client *kctbackend.Client, s *kctstutter.StutterServer, n int) (string, error) {
	status, err := client.Status(context.Background(), kctport.Endpoint{ID: "i", Address: s.Address})
	switch {
	case err != nil:
		return "failed", err
	case status.BootID == uint64(1+n) && status.InFlight == n:
		return "right", nil
	}
	return "wrong", fmt.Errorf("status %+v", status)
}

// runStutterRow sends the requests of a case one after the other and counts their outcomes.
func runStutterRow(t *testing.T, row [3]int, s *kctstutter.StutterServer, c kctstutter.StutterCase, count func(outcome string)) {
	client := kctbackend.New(kcttimer.New(), kctbackend.WithConnections(1), kctbackend.WithStatusTimeout(stutterTime),
		kctbackend.WithDropped(func(kctport.InstanceID, string, error) { count("reported") }))
	defer client.Close()
	for n, status := range row {
		s.SetNumber(n)
		outcome, err := "", error(nil)
		if status == statusCheck {
			outcome, err = checkOutcome(client, s, n)
		} else {
			outcome, err = callOutcome(client, s, n, status)
		}
		count(outcome)
		if outcome == "wrong" {
			t.Logf("%s: request %d of %v: %v", c.Name, n, c.Answers, err)
		}
	}
}

// TestSecondCopyOfReply guards against replies of endpoints that are those to another request, or consist of bytes of two: endpoints break replies off at any
// byte, or send second copies of them.
func TestSecondCopyOfReply(t *testing.T) {
	for name, row := range stutterRows {
		t.Run(name, func(t *testing.T) {
			var answers []kctstutter.StutterAnswer
			checks := 0
			for n, status := range row {
				answers = append(answers, stutterAnswer(t, n, status, &checks))
			}
			counts, err := kctstutter.RunStutterCases(t.Context(), kctstutter.StutterCases("Id", answers...), func(s *kctstutter.StutterServer, c kctstutter.StutterCase, count func(string)) {
				runStutterRow(t, row, s, c, count)
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("outcomes: %v", counts)
			if counts["wrong"] > 0 {
				t.Errorf("%d outcomes are not those of the endpoint's replies", counts["wrong"])
			}
			if counts["reported"] == 0 {
				t.Error("no dropped reply was reported")
			}
		})
	}
}
