package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// detourFleet plays entry hosts of which most are cut off from control.
type detourFleet struct {
	hosts map[model.HostID]*Detour
	order []model.HostID
	cut   map[model.HostID]bool
	via   map[model.HostID]model.HostID
	dead  map[model.HostID]bool
	asked int
	now   model.Instant
}

func newDetourFleet(n int) *detourFleet {
	f := &detourFleet{hosts: map[model.HostID]*Detour{}, cut: map[model.HostID]bool{}, via: map[model.HostID]model.HostID{}, dead: map[model.HostID]bool{}, now: 1}
	for i := range n {
		f.order = append(f.order, model.HostID(fmt.Sprintf("e%d", i)))
	}
	for _, h := range f.order {
		d := NewDetour(proto.Member{Host: h, Role: proto.RoleEntry})
		d.Step(f.now, ConfigChanged{Config: model.NewConfig([]model.HostID{"c"}, nil)})
		d.Step(f.now, PeersListed{Peers: f.order})
		f.hosts[h] = d
	}
	return f
}

// reaches reports whether a host gets confirmations, itself or through another.
func (f *detourFleet) reaches(h model.HostID) bool {
	via := f.via[h]
	return via == "" && !f.cut[h] || via != "" && !f.cut[via] && !f.dead[via] && f.via[via] == ""
}

func (f *detourFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(50 * time.Millisecond) {
		for _, h := range f.order {
			if f.reaches(h) {
				f.hosts[h].Step(f.now, VersionConfirmed{})
			}
			f.take(h, f.hosts[h].Step(f.now, Tick{}))
		}
	}
}

func (f *detourFleet) take(h model.HostID, out []Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case DetourChanged:
			f.via[h] = e.Via
		case Send:
			f.asked++
			answers := e.To == "c" && !f.cut[h] || e.To != "c" && !f.cut[e.To] && !f.dead[e.To] && f.via[e.To] == ""
			if answers {
				f.take(h, f.hosts[h].Step(f.now, Received{From: e.To, Msg: proto.PeerReply(e.Msg.(proto.PeerAsk))}))
			}
		}
	}
}

func (f *detourFleet) reached() int {
	n := 0
	for _, h := range f.order {
		if f.reaches(h) {
			n++
		}
	}
	return n
}

// Guards against entry hosts that are cut off from control for long although
// one in ten of the others reaches it: each then refuses requests within the
// rate and hears nothing of withdrawn keys.
func TestCutOffHostsFindADetour(t *testing.T) {
	f := newDetourFleet(100)
	f.run(3 * time.Second)
	require.Zero(t, f.asked, "hosts that reach control ask nobody")
	r := rand.New(rand.NewPCG(1, 2))
	for _, i := range r.Perm(100)[:90] {
		f.cut[f.order[i]] = true
	}
	f.run(4 * time.Second)
	require.Greater(t, f.reached(), 95)
	f.run(4 * time.Second)
	require.Equal(t, 100, f.reached())

	for _, h := range f.order {
		if !f.cut[h] {
			f.dead[h] = true
			break
		}
	}
	f.run(5 * time.Second)
	require.GreaterOrEqual(t, f.reached(), 99, "hosts leave a detour that is lost")

	clear(f.cut)
	clear(f.dead)
	f.run(2500 * time.Millisecond)
	for _, h := range f.order {
		require.Empty(t, f.via[h], "%s goes on with its detour after the partition", h)
	}
}

// Guards against hosts that load each other with searches while control is lost
// for all of them.
func TestSearchesAreFewWithoutControl(t *testing.T) {
	f := newDetourFleet(100)
	for _, h := range f.order {
		f.cut[h] = true
	}
	f.run(2 * time.Second)
	before := f.asked
	f.run(20 * time.Second)
	require.Less(t, float64(f.asked-before)/100/20, 6.0, "asks by each host in a second")
	require.Empty(t, f.via)
}
