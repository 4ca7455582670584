package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// answerBroken answers with an accepted result whose head and body are changed by
// broken. It resets the connection afterwards if reset is set, and otherwise ends it.
func answerBroken(broken func(body string) string, reset bool) answerFunc {
	return func(w http.ResponseWriter, p opsapi.Proposal) {
		r := opsapi.FromResult(model.Result{ID: model.ChangeID(p.ChangeID), Kind: model.ResultAccepted, Version: 8})
		body, _ := json.Marshal(r)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, broken(string(body)))
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Guards against an answer of a control host that is cut or has an invalid status and
// is taken for the result of a change or of a read.
func TestBrokenAnswersAreNoResults(t *testing.T) {
	half := func(s string) string { return s[:len(s)/2] }
	for name, broken := range map[string]func(body string) string{
		"no length, cut":   func(b string) string { return "HTTP/1.1 200 OK\r\n\r\n" + half(b) },
		"no length, empty": func(string) string { return "HTTP/1.1 200 OK\r\n\r\n" },
		"length, cut": func(b string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), half(b))
		},
		"chunks, cut": func(b string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(b), b)
		},
		"status 000": func(b string) string { return fmt.Sprintf("HTTP/1.1 000 x\r\nContent-Length: %d\r\n\r\n%s", len(b), b) },
		"status 2000": func(b string) string {
			return fmt.Sprintf("HTTP/1.1 2000 x\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		},
		"control byte": func(b string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX\x00A: b\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		},
		"chunk sizes in the body": func(b string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(b), b)
		},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				t.Parallel()
				f := &fakeFleet{script: []answerFunc{answerBroken(broken, reset)}}
				c, err := New(f.start(t, "a"), "t", WithRounds(1, time.Millisecond))
				require.NoError(t, err)
				_, err = c.Propose(context.Background(), model.Proposal{Change: model.CreateWorkspace{Workspace: "w"}})
				require.True(t, IsErrUnknown(err), "got %v", err)
				_, err = c.Version(context.Background())
				require.Error(t, err)
				require.Error(t, c.ClearQuarantine(context.Background(), "s", "w"))
			})
		}
	}
}
