package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// lookupWithDeadline sends a request, with a deadline in milliseconds unless it is
// empty, and returns the answer and how long it took.
func lookupWithDeadline(t *testing.T, h *testHost, deadline string) (*http.Response, time.Duration) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.addr+"/lookup/x", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+keyA)
	if deadline != "" {
		req.Header.Set("X-Deadline-Ms", deadline)
	}
	began := time.Now()
	resp, err := h.http.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp, time.Since(began)
}

// TestRequestsWaitForFirstConfiguration guards against callers that are refused by
// one host after another when all hosts have just started and get their
// configuration within a second.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	h := newHost(t)
	var cfg model.Config
	h.fake.update(func() { cfg, h.fake.cfg = h.fake.cfg, model.NewConfig(nil, nil) })
	timer := time.AfterFunc(200*time.Millisecond, func() { h.fake.update(func() { h.fake.cfg = cfg }) })
	defer timer.Stop()
	lookupWithDeadline(t, h, "")
	require.Len(t, readLocked(h.fake, &h.fake.targetRequests), 1, "the request must get as far as asking for a target")
}

// TestHostWithoutConfigurationRefusesInTime guards against requests that wait until
// their deadline on a host that gets no configuration, and against requests that
// wait long after the start of the host.
func TestHostWithoutConfigurationRefusesInTime(t *testing.T) {
	h := newHost(t, entry.WithRetryFractions())
	h.fake.update(func() { h.fake.cfg = model.NewConfig(nil, nil) })
	resp, took := lookupWithDeadline(t, h, "600")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.5", resp.Header.Get("Retry-After"))
	require.Less(t, took, 500*time.Millisecond, "the wait must take about a third of the deadline")
	time.Sleep(2 * time.Second)
	_, took = lookupWithDeadline(t, h, "")
	require.Less(t, took, 500*time.Millisecond)
}
