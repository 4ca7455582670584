package node

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a report that names hosts as missing although they replied:
// one silent host used up the time before the replies of others were read.
func TestCollectKeepsAnswersBehindASilentHost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	w := newWaiters[uint64, string]()
	questions := []question[string]{{"silent", 1, w.add(1)}, {"e2", 2, w.add(2)}, {"e3", 3, w.add(3)}}
	require.True(t, w.answer(2, "two"))
	require.True(t, w.answer(3, "three"))
	cancel()

	got := collect(ctx, w, questions)
	require.Equal(t, "two", got["e2"])
	require.Equal(t, "three", got["e3"])
	require.NotContains(t, got, "silent")
}
