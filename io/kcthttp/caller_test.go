package kcthttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	kctport "kingcupturn"
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
		server := New(netip.AddrPort{}, fakeTier{view: &kctport.View{Services: r.services}, err: r.err}, kcttimer.New())
		reply := httptest.NewRecorder()
		server.http.Handler.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, r.path, strings.NewReader(r.body)))
		var got errorReply
		if err := json.Unmarshal(reply.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if reply.Code != r.status || got.Code != r.code || got.Ran != r.ran {
			t.Errorf("%s with %d known services and error %v: got %d %+v, want %d %s %s", r.path, len(r.services), r.err, reply.Code, got, r.status, r.code, r.ran)
		}
	}
}
