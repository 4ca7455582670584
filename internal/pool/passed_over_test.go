package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func TestRefusalNamesWhatRuledTheTargetsOut(t *testing.T) {
	h := newOwnerHarness(t, 5)
	h.announce(0, 1, model.TargetDraining)
	require.Equal(t, 1, h.ejectRange(1, 2))
	m := h.newAsk("w", 1, targetID(2), targetID(3), targetID(4))
	m.Request = "r"
	refused := effectsOf[QueryRefused](h.receive("e1", m))
	require.Len(t, refused, 1)
	require.Equal(t, model.RequestID("r"), refused[0].Request)
	require.Equal(t, RefusedNoRetry, refused[0].Reason)
	require.Equal(t, "excluded 3, not_ready 1, ejected 1", refused[0].RuledOut.String())
}

// TestIdleTargetsAreReportedWithTheReason guards against targets that are idle while
// requests fail, without a line that tells why.
func TestIdleTargetsAreReportedWithTheReason(t *testing.T) {
	h := newOwnerHarness(t, 4)
	require.Equal(t, 1, h.ejectRange(3, 4))
	var idle []TargetsIdle
	for range 500 {
		h.now = h.now.Add(20 * time.Millisecond)
		if time.Duration(h.now)%time.Second == 0 {
			for n := range 4 {
				h.announce(n, 1, model.TargetReady)
			}
		}
		m := h.newAsk("w", 1)
		m.AtMostOnce = true
		r := firstReply(h.receive("e1", m))
		require.Equal(t, proto.SlotAssigned, r.Status)
		end := model.AttemptOK
		if h.nonce%10 == 0 {
			end = model.AttemptError
		}
		h.receive("e1", proto.SlotDone{Service: testService, Slot: r.Slot, Workspace: "w", Fingerprint: 1, Attempt: model.Attempt{Target: r.Target, Incarnation: 1, End: end}})
		idle = append(idle, effectsOf[TargetsIdle](h.step(Tick{}))...)
		if len(idle) > 0 {
			break
		}
	}
	require.Len(t, idle, 1)
	require.Equal(t, 4, idle[0].InService)
	require.Len(t, idle[0].Targets, 1)
	require.Equal(t, targetID(3), idle[0].Targets[0].Target)
	require.Positive(t, idle[0].Targets[0].PassedOver[PassEjected])
	require.Equal(t, idle[0].Targets[0].PassedOver[PassEjected], sumOf(idle[0].Targets[0].PassedOver))
}

func sumOf(c PassCounts) int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}
