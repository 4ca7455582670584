package order

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestIndexEntryKeepsAllBits guards against a packed entry that loses bits of a position, a
// creation time or a state.
func TestIndexEntryKeepsAllBits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := Position{
			Segment: rapid.Uint32().Draw(t, "segment"),
			Size:    rapid.Uint32Range(0, maxSize-1).Draw(t, "size"),
			Offset:  rapid.Uint64Range(0, maxOffset-1).Draw(t, "offset"),
		}
		made := rapid.Int64Range(0, 1<<60).Draw(t, "made")
		state := rapid.SampledFrom([]RecordState{RecordHeld, RecordFreed, RecordAnswered}).Draw(t, "state")
		s := newIndexEntry(at, made, state)
		require.True(t, at.Fits())
		require.Equal(t, at, s.position())
		require.Equal(t, made, s.unixMilli())
		require.Equal(t, state, s.state())
	})
	require.False(t, Position{Size: maxSize}.Fits())
	require.False(t, Position{Offset: maxOffset}.Fits())
}
