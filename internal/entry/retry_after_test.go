package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfterValues guards against a Retry-After in a form that callers cannot
// read, and against one that is shorter than intended.
func TestRetryAfterValues(t *testing.T) {
	for _, c := range []struct {
		retryAfter time.Duration
		fractions  bool
		want       string
	}{
		{300 * time.Millisecond, false, "1"},
		{1001 * time.Millisecond, false, "2"},
		{300 * time.Millisecond, true, "0.3"},
		{1250 * time.Millisecond, true, "1.25"},
	} {
		require.Equal(t, c.want, retryAfterValue(c.retryAfter, c.fractions))
	}
	require.Equal(t, minRetryAfter, refuse(503, CodeDraining, "x").withRetryAfter(0).RetryAfter)
}
