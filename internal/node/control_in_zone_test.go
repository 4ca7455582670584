package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against targets that are sent to a control host that is lost or stops,
// or out of their zone while a control host there is live.
func TestControlHostInZoneIsLive(t *testing.T) {
	p := &ownerHost{self: proto.Member{Host: "a", Zone: "z1"}}
	require.Equal(t, model.HostID("a"), p.controlHostInZone("z2"), "no member is known yet")
	controls := []proto.Member{{Host: "a", Zone: "z1"}, {Host: "b", Zone: "z2"}, {Host: "c", Zone: "z2"}}
	p.controls.Store(&controls)
	for zone, want := range map[model.ZoneName]model.HostID{"z1": "a", "z2": "b", "z3": "a"} {
		require.Equal(t, want, p.controlHostInZone(zone), zone)
	}
}
