package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against the first host that reaches control again and then forwards for
// all others at once, and against a host that forwards for more hosts than it can
// carry.
func TestPeerAnswersAreBounded(t *testing.T) {
	var p peerAsks
	now := model.Instant(1)
	helped := map[model.HostID]bool{}
	for range 10 {
		for i := range 90 {
			p.add(model.HostID(fmt.Sprintf("e%d", i)), 7)
		}
		taken := p.take(now)
		require.LessOrEqual(t, len(taken), maxPeersPerConfirmation)
		for host, nonce := range taken {
			require.Equal(t, uint64(7), nonce)
			helped[host] = true
		}
		now = now.Add(400 * time.Millisecond)
	}
	require.Len(t, helped, maxPeersPerWindow)
	require.Empty(t, p.take(now), "an ask is answered once")
	p.add("late", 9)
	require.Len(t, p.take(now.Add(peerWindow)), 1, "hosts answered before the window do not count")
}
