package link

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against hosts that do not link again, or pairs whose sides use different
// links, after one-way partitions that come and go at random.
func TestHostsReconnectAfterRandomPartitions(t *testing.T) {
	const seed = 7
	rnd := rand.New(rand.NewPCG(seed, seed))
	var all []*testHost
	var members []proto.Member
	for i := range 4 {
		h := startHost(t, model.HostID(fmt.Sprintf("h%d", i)), 1)
		all = append(all, h)
		members = append(members, h.member)
	}
	for _, h := range all {
		h.UpdateMembers(members)
	}
	for step := range 150 {
		h, o := all[rnd.IntN(len(all))], all[rnd.IntN(len(all))]
		h.faults.DropTo(o.member.Host, rnd.IntN(3) == 0)
		for _, a := range all {
			for _, b := range all {
				a.Send(b.member.Host, proto.StatusAsk{Nonce: uint64(step)})
			}
		}
		time.Sleep(10 * time.Millisecond) // links open and break between two steps
	}
	for _, h := range all {
		for _, o := range all {
			h.faults.DropTo(o.member.Host, false)
		}
	}
	for i, a := range all {
		for _, b := range all[i+1:] {
			deliver(t, a, b, 1000)
			deliver(t, b, a, 1000)
			require.Eventually(t, func() bool { return a.statsFor(b).Linked && a.statsFor(b).Link == b.statsFor(a).Link }, eventTimeout, time.Millisecond)
		}
	}
}
