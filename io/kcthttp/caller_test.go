package kcthttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	kctport "kingcupturn"
	"kingcupturn/io/kctguard"
	"kingcupturn/io/kctloopback"
	"kingcupturn/io/kcttimer"
)

// fakeTier is a tier with a fixed view, whose executions all return err.
type fakeTier struct {
	kctport.Tier
	view *kctport.View
	err  error
}

func (v fakeTier) View() *kctport.View { return v.view }

func (v fakeTier) WaitForEndpoints(context.Context) {}

func (v fakeTier) Execute(context.Context, kctport.Execution) (kctport.Result, error) {
	return kctport.Result{}, v.err
}

// TestUnknownService guards against a request refused as invalid while the entry has no endpoints yet, as after a start during an
// outage of the platform, and against "not run" for an execution whose outcome is unknown.
func TestUnknownService(t *testing.T) {
	known := map[kctport.ServiceName]*kctport.ServiceView{"mailer": {Name: "mailer"}}
	query, execute := `{"services":["match"],"text":"eel"}`, `{"key":"k","service":"match","text":"eel"}`
	for _, r := range []struct {
		path, body string
		services   map[kctport.ServiceName]*kctport.ServiceView
		err        error
		status     int
		code, ran  string
	}{
		{"/v1/query", query, nil, nil, http.StatusServiceUnavailable, "notrun", "no"},
		{"/v1/query", query, known, nil, http.StatusBadRequest, "invalid", "no"},
		{"/v1/execute", execute, nil, kctport.ErrNotRun, http.StatusServiceUnavailable, "notrun", "no"},
		{"/v1/execute", execute, known, kctport.ErrNotRun, http.StatusBadRequest, "invalid", "no"},
		{"/v1/execute", execute, nil, kctport.ErrUnknown, http.StatusBadGateway, "unknown", "unknown"},
		{"/v1/execute", execute, known, kctport.ErrUnknown, http.StatusBadGateway, "unknown", "unknown"},
	} {
		ports, err := kctloopback.FreePorts(1)
		if err != nil {
			t.Fatal(err)
		}
		guard := kctguard.New(kcttimer.New(), 256, 4096)
		server := New(ports[0], fakeTier{view: &kctport.View{Services: r.services}, err: r.err}, kcttimer.New(), guard)
		done, err := server.Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		reply, err := http.Post("http://"+ports[0].String()+r.path, echo.MIMEApplicationJSON, strings.NewReader(r.body))
		if err != nil {
			t.Fatal(err)
		}
		var got errorReply
		if err := json.NewDecoder(reply.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		reply.Body.Close()
		server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if reply.StatusCode != r.status || got.Code != r.code || got.Ran != r.ran {
			t.Errorf("%s with %d known services and error %v: got %d %+v, want %d %s %s", r.path, len(r.services), r.err, reply.StatusCode, got, r.status, r.code, r.ran)
		}
	}
}
