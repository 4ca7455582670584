package entry_test

import (
	"bufio"
	"crypto/sha256"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// TestEndWhileBodyArrives guards against a request whose body is still arriving when
// the host stops or its key is withdrawn, and which is cut without a response or
// answered only at its deadline.
func TestEndWhileBodyArrives(t *testing.T) {
	const part = "POST /order HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + keyA + "\r\nContent-Length: 5\r\n\r\nab"
	for name, c := range map[string]struct {
		end  func(*testing.T, *testHost)
		want int
	}{
		"stop":       {func(t *testing.T, h *testHost) { h.stopInBackground(t) }, http.StatusServiceUnavailable},
		"withdrawal": {func(_ *testing.T, h *testHost) { h.WithdrawKey(model.KeyHash(sha256.Sum256([]byte(keyA)))) }, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStoppingHost(t)
			h.addStubTarget(t, stub.Behavior{})
			conn := h.dial(t)
			write(t, conn, part)
			require.Eventually(t, func() bool { return h.KeyedInFlight() == 1 }, time.Second, time.Millisecond)
			c.end(t, h)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "the request ended without a response")
			require.Equal(t, c.want, res.StatusCode)
			require.Equal(t, "not_run", res.Header.Get("X-Outcome"))
			require.NoError(t, res.Body.Close())
		})
	}
}
