package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// stopTime is the time that the stops in these tests may take.
const stopTime = 1500 * time.Millisecond

// stopWhile starts requests, waits until the condition holds, stops the host and
// returns the answers and how long after the beginning of the stop they came.
func stopWhile(t *testing.T, h *testHost, condition func() bool, requests int) ([]answer, []time.Duration) {
	t.Helper()
	type timed struct {
		answer
		at time.Time
	}
	workers := pond.NewResultPool[timed](requests)
	defer workers.StopAndWait()
	group := workers.NewGroup()
	for range requests {
		group.SubmitErr(func() (timed, error) {
			a, err := h.do(h.newRequest(t, "POST", "/order/x", "b", "X-Deadline-Ms", "10000"))
			return timed{a, time.Now()}, err
		})
	}
	require.Eventually(t, condition, time.Second, time.Millisecond)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	_ = h.stop(ctx) // it tells of requests in flight at the end
	list, err := group.Wait()
	require.NoError(t, err, "each request gets an answer")
	var answers []answer
	var after []time.Duration
	for _, a := range list {
		answers, after = append(answers, a.answer), append(after, a.at.Sub(began))
	}
	return answers, after
}

// newStoppingHost returns a host whose requests may take ten seconds.
func newStoppingHost(t *testing.T) *testHost {
	h := newHost(t)
	h.fake.update(func() { h.fake.cfg.Defaults.Deadline = 10 * time.Second })
	return h
}

// Guards against requests that wait for a target when their host stops and are cut
// without an answer at its end, although none has run and another host could have
// served them.
func TestWaitingRequestsAreRefusedBeforeTheEndOfAStop(t *testing.T) {
	for _, objective := range []time.Duration{0, time.Second, time.Minute} {
		t.Run(objective.String(), func(t *testing.T) {
			h := newStoppingHost(t)
			h.fake.update(func() {
				h.fake.holdAssignments = make(chan struct{})
				h.fake.cfg.Routes = model.NewRoutes([]model.Route{{Name: "order", PathPrefix: "/order", Service: "stock", Objective: objective}})
			})
			target := h.addStubTarget(t, stub.Behavior{})
			answers, after := stopWhile(t, h, func() bool { return h.ActiveRequests() == 8 }, 8)
			for i, a := range answers {
				require.Equal(t, "503 not_run", fmt.Sprint(a.StatusCode, " ", a.outcome()))
				require.NotEmpty(t, a.Header.Get("Retry-After"))
				require.Less(t, after[i], stopTime-min(objective, stopTime)+200*time.Millisecond)
			}
			require.Zero(t, target.Running())
			require.Empty(t, attemptEnds(h.fake))
		})
	}
}

// Guards against a request that waits and is passed on to a target so late that the
// end of the stop cuts it, which is the worst for an order that may not be repeated.
func TestNoRequestIsPassedOnShortlyBeforeTheEndOfAStop(t *testing.T) {
	h := newStoppingHost(t)
	hold := make(chan struct{})
	h.fake.update(func() { h.fake.holdAssignments = hold })
	h.addStubTarget(t, stub.Behavior{DelayMS: 5000})
	timer := time.AfterFunc(stopTime-100*time.Millisecond, func() { close(hold) })
	defer timer.Stop()
	answers, _ := stopWhile(t, h, func() bool { return h.ActiveRequests() == 1 }, 1)
	require.Equal(t, "503 not_run", fmt.Sprint(answers[0].StatusCode, " ", answers[0].outcome()))
	require.Empty(t, attemptEnds(h.fake))
}

// Guards against a connection that is cut at the end of a stop without a word on
// whether the request may have run.
func TestRequestsAtTargetsAreAnsweredAsUnknownAtTheEndOfAStop(t *testing.T) {
	h := newStoppingHost(t)
	target := h.addStubTarget(t, stub.Behavior{DelayMS: 8000})
	answers, after := stopWhile(t, h, func() bool { return target.Running() == 3 }, 3)
	for i, a := range answers {
		require.Equal(t, "unknown", a.outcome())
		require.GreaterOrEqual(t, after[i], stopTime-10*time.Millisecond, "not sooner than needed")
	}
}
