package kcthttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
)

// decode reads the request body and decodes it as one JSON value; unknown fields are refused, so that a misspelt field
// is not ignored. An error wraps ErrInvalid and ErrNotRun, or is an echo.HTTPError for a body above the limit.
func decode(c echo.Context, into any) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	err = d.Decode(into)
	if err == nil {
		if _, extra := d.Token(); !errors.Is(extra, io.EOF) {
			err = errors.New("data after the JSON value")
		}
	}
	if err != nil {
		return invalid("body: %v", err)
	}
	return nil
}

// readBody reads the request body; the connection is closed after one that has no room or does not arrive.
func readBody(c echo.Context) ([]byte, error) {
	r := c.Request()
	conn := kctguard.FromContext(r.Context())
	body, err := conn.ReadBody(r.Body, r.ContentLength)
	if err == nil {
		err = conn.Run()
	}
	var tooLarge *echo.HTTPError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, tooLarge
	case errors.Is(err, kctport.ErrNotRun):
		c.Response().Header().Set("Connection", "close")
		return nil, err
	}
	return nil, invalid("body: %v", err)
}

func invalid(format string, args ...any) error {
	return eris.Wrapf(errors.Join(kctport.ErrInvalid, kctport.ErrNotRun), format, args...)
}

func bytesText(n int) string {
	return strconv.Itoa(n) + "B"
}

// errorReply is the body of every error reply.
type errorReply struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "no" only when it is certain that the request did not run.
	Ran string `json:"ran"`
}

// refusals maps errors to the status and code of the reply; the first match counts.
var refusals = []struct {
	err    error
	status int
	code   string
}{
	{kctport.ErrInvalid, http.StatusBadRequest, "invalid"},
	{kctport.ErrUnknown, http.StatusBadGateway, "unknown"},
	{kctport.ErrQuarantined, http.StatusUnprocessableEntity, "quarantined"},
	{kctport.ErrIsolated, http.StatusServiceUnavailable, "isolated"},
	{kctport.ErrDraining, http.StatusServiceUnavailable, "draining"},
	{kctport.ErrShed, http.StatusTooManyRequests, "shed"},
	{kctport.ErrNoEndpoint, http.StatusServiceUnavailable, "noendpoint"},
	{kctport.ErrNoSnapshot, http.StatusServiceUnavailable, "nosnapshot"},
	{kctport.ErrTimeout, http.StatusGatewayTimeout, "timeout"},
	{kctport.ErrFailed, http.StatusBadGateway, "failed"},
	{kctport.ErrNotRun, http.StatusServiceUnavailable, "notrun"},
}

// ranStatus returns the value of errorReply.Ran; ErrUnknown takes precedence over ErrNotRun.
func ranStatus(err error) string {
	if errors.Is(err, kctport.ErrNotRun) && !errors.Is(err, kctport.ErrUnknown) {
		return "no"
	}
	return "unknown"
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, body := http.StatusInternalServerError, errorReply{Code: "internal", Message: err.Error(), Ran: ranStatus(err)}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		status, body = routing.Code, errorReply{Code: "invalid", Message: http.StatusText(routing.Code), Ran: "no"}
	}
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			status, body.Code = r.status, r.code
			break
		}
	}
	// The texts of joined errors are separated by line breaks.
	body.Message = strings.ReplaceAll(body.Message, "\n", ": ")
	// An error means that the caller has disconnected.
	_ = c.JSON(status, body)
}
