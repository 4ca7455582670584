package node

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a report that lists hosts as missing although they replied: the
// wait for one host without a reply used up the time before the replies of others
// were read.
func TestCollectRepliesKeepsAnswersAfterSilentHost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	w := newWaiters[uint64, string]()
	queries := []hostQuery[string]{{"silent", 1, w.add(1)}, {"e2", 2, w.add(2)}, {"e3", 3, w.add(3)}}
	require.True(t, w.answer(2, "two"))
	require.True(t, w.answer(3, "three"))
	cancel()

	got := collectReplies(ctx, w, queries)
	require.Equal(t, "two", got["e2"])
	require.Equal(t, "three", got["e3"])
	require.NotContains(t, got, "silent")
}
