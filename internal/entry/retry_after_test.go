package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a Retry-After that callers cannot read, or that sends them
// back before the time that was decided.
func TestRetryAfterValues(t *testing.T) {
	for _, c := range []struct {
		after     time.Duration
		fractions bool
		want      string
	}{
		{300 * time.Millisecond, false, "1"},
		{1001 * time.Millisecond, false, "2"},
		{300 * time.Millisecond, true, "0.3"},
		{1250 * time.Millisecond, true, "1.25"},
	} {
		require.Equal(t, c.want, retryAfterValue(c.after, c.fractions))
	}
	require.Equal(t, minRetryAfter, refuse(503, CodeDraining, "x").withRetryAfter(0).RetryAfter)
}
