package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// fakeBackend is a Backend and a Health that records its arguments and returns
// result and err. With neither set, Propose waits until its context ends.
type fakeBackend struct {
	lastProposal model.Proposal
	result       model.Result
	err          error
	historyLimit int
}

func (f *fakeBackend) Propose(ctx context.Context, p model.Proposal) (model.Result, error) {
	f.lastProposal = p
	if f.err == nil && f.result.Kind == 0 {
		<-ctx.Done()
		return model.Result{}, ctx.Err()
	}
	return f.result, f.err
}

func (f *fakeBackend) Config(context.Context) (model.Config, error) {
	return model.NewConfig(nil, nil).WithVersion(7), f.err
}

func (f *fakeBackend) History(_ context.Context, n int) ([]opsapi.AuditEntry, error) {
	f.historyLimit = n
	return nil, f.err
}

func (f *fakeBackend) Silence(_ context.Context, ws model.WorkspaceID) (opsapi.Evidence, error) {
	return opsapi.Evidence{Workspace: string(ws)}, f.err
}

func (f *fakeBackend) Status(context.Context) (opsapi.Status, error) { return opsapi.Status{}, f.err }
func (f *fakeBackend) Burn(context.Context) ([]byte, error)          { return []byte{1, 2}, f.err }

func (f *fakeBackend) ClearQuarantine(context.Context, model.ServiceName, model.WorkspaceID) error {
	return f.err
}

func (f *fakeBackend) Ready() error { return f.err }

const (
	validToken = "correct-horse-battery"
	changeBody = `{"change_id":"c-1","base":6,"reason":"new shop","change":{"create_workspace":{"workspace":"shop-7"}}}`
)

// serve sends a request with the given Authorization header, or none if it is
// empty, and returns the response and its body.
func serve(t *testing.T, s *Server, method, path, bearer, body string) (*http.Response, string) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if bearer != "" {
		r.Header.Set("Authorization", bearer)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w.Result(), w.Body.String()
}

func testTokens() []Token {
	return []Token{{Actor: "gwen", Hash: HashToken("other-token")}, {Actor: "mair", Hash: HashToken(validToken)}}
}

// Guards against a path of the operators' API that is served without a known
// token, and against tokens in the log.
func TestEveryOperatorPathRequiresToken(t *testing.T) {
	var logged strings.Builder
	log := funcr.New(func(prefix, args string) { logged.WriteString(prefix + args) }, funcr.Options{Verbosity: 9})
	s := New(&fakeBackend{}, WithBackend(&fakeBackend{result: model.Result{Kind: model.ResultAccepted}}, testTokens()), WithLogger(log))
	paths := map[string]string{
		opsapi.PathChanges: "POST", opsapi.PathConfig: "GET", opsapi.PathVersion: "GET", opsapi.PathHistory: "GET",
		opsapi.PathSilence + "shop-7": "GET", opsapi.PathStatus: "GET", opsapi.PathBurn: "GET", opsapi.PathQuarantine: "POST",
	}
	for path, method := range paths {
		for _, bearer := range []string{"", validToken, "Bearer", "Bearer wrong-token-value", "Basic " + validToken, "Bearer " + validToken + "x"} {
			resp, body := serve(t, s, method, path, bearer, changeBody)
			require.Equal(t, http.StatusUnauthorized, resp.StatusCode, "%s with %q", path, bearer)
			require.Contains(t, body, `"kind":"unauthorized"`)
		}
		resp, _ := serve(t, s, method, path, "bearer "+validToken, `{"service":"s","workspace":"w"}`)
		require.NotEqual(t, http.StatusUnauthorized, resp.StatusCode, path)
		resp, _ = serve(t, New(&fakeBackend{}), method, path, "Bearer "+validToken, changeBody)
		require.Equal(t, http.StatusNotFound, resp.StatusCode, "a process without a backend serves no operators' path")
	}
	require.NotContains(t, logged.String(), validToken)
	require.NotContains(t, logged.String(), "wrong-token-value")
}

// Guards against an actor chosen by the client instead of taken from the token, and
// against a result or an error that reaches the operator with the wrong status or
// kind.
func TestProposeReportsActorAndResult(t *testing.T) {
	tests := []struct {
		name   string
		result model.Result
		err    error
		status int
		want   string
	}{
		{"accepted", model.Result{ID: "c-1", Kind: model.ResultAccepted, Version: 7}, nil, 200, `{"change_id":"c-1","kind":"accepted","version":7}`},
		{"conflict", model.Result{Kind: model.ResultConflict, Version: 9, Message: "read again"}, nil, 409, `"kind":"conflict","version":9,"message":"read again"`},
		{"invalid", model.Result{Kind: model.ResultInvalid}, nil, 422, `"kind":"invalid"`},
		{"not the leader", model.Result{Kind: model.ResultNotLeader, Leader: "c2"}, nil, 421, `"leader":"c2"`},
		{"unknown", model.Result{Kind: model.ResultUnknown}, nil, 504, `"kind":"unknown"`},
		{"no result in time", model.Result{}, nil, 504, `"kind":"unknown"`},
		{"leader lost", model.Result{}, ErrNotLeader{Leader: "c3"}, 421, `"kind":"not_leader"`},
		{"disk failed", model.Result{}, errors.New("disk"), 500, `"kind":"internal"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &fakeBackend{result: tt.result, err: tt.err}
			s := New(b, WithBackend(b, testTokens()), WithTimeout(10*time.Millisecond))
			resp, body := serve(t, s, "POST", opsapi.PathChanges, "Bearer "+validToken, changeBody)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Contains(t, body, tt.want)
			require.Equal(t, "mair", b.lastProposal.Actor)
			require.Equal(t, model.Proposal{ID: "c-1", Base: 6, Actor: "mair", Reason: "new shop", UnixMilli: b.lastProposal.UnixMilli, Change: model.CreateWorkspace{Workspace: "shop-7"}}, b.lastProposal)
			require.NotZero(t, b.lastProposal.UnixMilli)
		})
	}
}

// Guards against requests whose unknown or surplus parts are ignored, and against
// bodies that fill the memory.
func TestInvalidRequestsAreRejected(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"unknown field", "POST", opsapi.PathChanges, strings.Replace(changeBody, `"base"`, `"actor":"gwen","base"`, 1), 400},
		{"two values", "POST", opsapi.PathChanges, changeBody + changeBody, 400},
		{"no JSON", "POST", opsapi.PathChanges, "x", 400},
		{"no change", "POST", opsapi.PathChanges, `{"change_id":"a","change":{}}`, 400},
		{"long body", "POST", opsapi.PathChanges, `{"reason":"` + strings.Repeat("x", 5000) + `"}`, 413},
		{"limit of zero", "GET", opsapi.PathHistory + "?limit=0", "", 400},
		{"limit beyond the bound", "GET", opsapi.PathHistory + "?limit=1001", "", 400},
		{"quarantine without a workspace", "POST", opsapi.PathQuarantine, `{"service":"s"}`, 400},
		{"other method", "DELETE", opsapi.PathConfig, "", 405},
		{"unknown path", "GET", "/v1/other", "", 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &fakeBackend{result: model.Result{Kind: model.ResultAccepted}}
			resp, body := serve(t, New(b, WithBackend(b, testTokens()), WithBodyLimit(4096)), tt.method, tt.path, "Bearer "+validToken, tt.body)
			require.Equal(t, tt.status, resp.StatusCode, body)
			require.Empty(t, b.lastProposal.ID)
		})
	}
}

// Guards against a process that reports itself ready while it cannot work, and
// against metrics of one process that appear in another one within the same binary.
func TestHealthAndMetrics(t *testing.T) {
	first, second := NewVars(), NewVars()
	first.Int("requests").Add(3)
	s := New(&fakeBackend{err: errors.New("waiting for a confirmation")}, WithVars(first))
	resp, _ := serve(t, s, "GET", opsapi.PathHealth, "", "")
	require.Equal(t, 200, resp.StatusCode)
	resp, body := serve(t, s, "GET", opsapi.PathReady, "", "")
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, "waiting for a confirmation")
	resp, _ = serve(t, New(&fakeBackend{}), "GET", opsapi.PathReady, "", "")
	require.Equal(t, 200, resp.StatusCode)

	_, body = serve(t, s, "GET", opsapi.PathVars, "", "")
	var vars map[string]any
	require.NoError(t, json.Unmarshal([]byte(body), &vars))
	require.EqualValues(t, 3, vars["requests"])
	require.Contains(t, vars["runtime"], "goroutines")
	_, body = serve(t, New(&fakeBackend{}, WithVars(second)), "GET", opsapi.PathVars, "", "")
	require.NotContains(t, body, "requests")

	resp, body = serve(t, s, "GET", opsapi.PathMetrics, "", "")
	require.Contains(t, resp.Header.Get("Content-Type"), "text/plain")
	require.Contains(t, body, "go_goroutines ")
}
