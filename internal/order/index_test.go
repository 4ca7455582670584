package order

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a packed slot that loses bits of a position, time or state.
func TestSlotsKeepEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := Position{
			Segment: rapid.Uint32().Draw(t, "segment"),
			Size:    rapid.Uint32Range(0, maxSize-1).Draw(t, "size"),
			Offset:  rapid.Uint64Range(0, maxOffset-1).Draw(t, "offset"),
		}
		made := rapid.Int64Range(0, 1<<60).Draw(t, "made")
		state := rapid.SampledFrom([]RecordState{RecordHeld, RecordFreed, RecordAnswered}).Draw(t, "state")
		s := newSlot(at, made, state)
		require.True(t, at.Fits())
		require.Equal(t, at, s.at())
		require.Equal(t, made, s.unixMilli())
		require.Equal(t, state, s.state())
	})
	require.False(t, Position{Size: maxSize}.Fits())
	require.False(t, Position{Offset: maxOffset}.Fits())
}
