package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against a control host that was cut off less than a second ago and
// acknowledges that a target leaves: no other host learns of it in time, and
// requests reach the target after its bound. Once, 20 requests came later than
// 2 s after the acknowledgement.
func TestLeaveNeedsConfirmationSentAfterIt(t *testing.T) {
	h := &seatHost{clock: newClock()}
	fresh := lease.DefaultTiming().FreshnessDuration
	confirm := func(at model.Instant) { h.freshUntil.Store(int64(at.Add(fresh))) }
	time.Sleep(time.Millisecond)
	now := h.clock.now()
	confirm(now.Add(-500 * time.Millisecond))
	require.True(t, h.confirmedWithin(maxConfirmationAge), "the host accepts announcements")
	began := time.Now()
	require.False(t, h.confirmedSince(now, 100*time.Millisecond), "the confirmation is older than the leave")
	require.Less(t, time.Since(began), time.Second)

	time.AfterFunc(30*time.Millisecond, func() { confirm(now.Add(time.Millisecond)) })
	require.True(t, h.confirmedSince(now, announceTimeout))
}
