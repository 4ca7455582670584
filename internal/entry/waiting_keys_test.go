package entry_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// moveKey makes key A one of workspace shop-b.
func (f *fakeDecider) moveKey() {
	f.update(func() {
		hash := model.KeyHash(sha256.Sum256([]byte(keyA)))
		f.cfg.Keys = f.cfg.Keys.With(model.Key{ID: "k2", Workspace: "shop-b", Hash: hash})
		f.cfg.Workspaces = f.cfg.Workspaces.Without("shop-a")
	})
}

// TestMovedKeyServesWaitingRequests guards against a request that is told that its key
// was withdrawn, or runs for the workspace that has lost the key, when the key moves
// to another workspace while the request waits.
func TestMovedKeyServesWaitingRequests(t *testing.T) {
	for name, wait := range map[string]func(t *testing.T, h *testHost) (move, finish func()){
		"for a target": func(t *testing.T, h *testHost) (func(), func()) {
			hold := make(chan struct{})
			h.fake.update(func() { h.fake.holdAssignments = hold })
			return h.fake.moveKey, func() { close(hold) }
		},
		"for the rate of a workspace that is gone": func(t *testing.T, h *testHost) (func(), func()) {
			moved := make(chan struct{})
			h.fake.update(func() {
				h.fake.beforeAdmit = func(ws model.WorkspaceID) bool {
					<-moved
					return ws == "shop-a"
				}
			})
			return h.fake.moveKey, func() { close(moved) }
		},
		"for its body": func(t *testing.T, h *testHost) (func(), func()) {
			return h.fake.moveKey, func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			target := h.addStubTarget(t, stub.Behavior{})
			move, finish := wait(t, h)
			conn := h.dial(t)
			write(t, conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: "+keyA+"\r\nContent-Length: 5\r\n\r\nab")
			if name != "for its body" {
				write(t, conn, "cde")
			}
			require.Eventually(t, func() bool { return h.KeyedInFlight() == 1 }, time.Second, time.Millisecond)
			time.Sleep(30 * time.Millisecond)
			move()
			finish()
			if name == "for its body" {
				write(t, conn, "cde")
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, "200 ran", fmt.Sprint(res.StatusCode, " ", res.Header.Get("X-Outcome")), string(body))
			require.Len(t, target.Journal(), 1)
			require.Equal(t, "shop-b", target.Journal()[0].Workspace)
			require.Eventually(t, func() bool { return h.KeyedInFlight() == 0 }, time.Second, time.Millisecond)
			require.Zero(t, h.Evidence("shop-a").InFlight)
			for _, end := range readLocked(h.fake, &h.fake.endedAttempts) {
				require.Contains(t, []model.AttemptEnd{model.AttemptCanceled, model.AttemptOK}, end.Attempt.End)
			}
		})
	}
}

// TestWithdrawalRefusesWaitingRequests guards against a request that still waits for
// a target when its key is withdrawn, and waits on or is sent, and against a retry of
// an attempt that fails after the withdrawal.
func TestWithdrawalRefusesWaitingRequests(t *testing.T) {
	for name, retry := range map[string]bool{"waits for the first target": false, "retry": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			working, finish := make(chan struct{}, 2), make(chan struct{})
			for range 2 {
				h.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					working <- struct{}{}
					<-finish
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					w.WriteHeader(http.StatusInternalServerError)
				}))
			}
			hold := make(chan struct{})
			if !retry {
				h.fake.update(func() { h.fake.holdAssignments = hold })
			}
			caller := pond.NewResultPool[answer](1)
			defer caller.StopAndWait()
			res := caller.SubmitErr(func() (answer, error) { return h.do(h.newRequest(t, "GET", "/lookup/x", "")) })
			want := "401 not_run"
			if retry {
				<-working
				want = "500 ran"
			}
			require.Eventually(t, func() bool { return h.KeyedInFlight() == 1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, 1, h.WithdrawKey(sha256.Sum256([]byte(keyA))))
			began := time.Now()
			close(finish)
			got, err := res.Wait()
			require.NoError(t, err)
			require.Equal(t, want, fmt.Sprint(got.StatusCode, " ", got.outcome()))
			require.Less(t, time.Since(began), 200*time.Millisecond, "refused at once")
			require.Empty(t, working, "not sent again")
			close(hold)
		})
	}
}
