package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

func controlMember(host model.HostID, zone model.ZoneName) proto.Member {
	return proto.Member{Host: host, Role: proto.RoleControl, Zone: zone, Incarnation: 1}
}

// relayFleet simulates five control hosts and an entry host of zone z2 whose settings
// name two of them, a and b.
type relayFleet struct {
	t         *testing.T
	fresh     *FreshnessClient
	now       model.Instant
	cfg       model.Config
	zones     map[model.HostID]model.ZoneName
	askCounts map[model.HostID]int
	lastAsked model.HostID
	// silentHosts holds the control hosts that do not answer, staleHosts those whose last
	// confirmation is 5 s old.
	silentHosts map[model.HostID]bool
	staleHosts  map[model.HostID]bool
}

func newRelayFleet(t *testing.T) *relayFleet {
	controls := []model.HostID{"a", "b", "c", "d", "e"}
	cfg := model.NewConfig(controls, controls).WithVersion(7)
	self := proto.Member{Host: "entry", Role: proto.RoleEntry, Zone: "z2", Incarnation: 1}
	return &relayFleet{
		t: t, cfg: cfg, now: 1,
		fresh:       NewFreshnessClient(self, WithOwnerRole(proto.RoleControl), WithRelay(), WithBootstrap([]model.HostID{"a", "b"}, []model.HostID{"a", "b"})),
		zones:       map[model.HostID]model.ZoneName{"a": "z1", "b": "z1", "c": "z2", "d": "z3", "e": "z3"},
		askCounts:   map[model.HostID]int{},
		silentHosts: map[model.HostID]bool{}, staleHosts: map[model.HostID]bool{},
	}
}

// run advances the virtual time by d and answers the asks of the entry host, except
// those to silent hosts.
func (f *relayFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(50 * time.Millisecond) {
		for _, e := range f.fresh.Step(f.now, Tick{}) {
			send, ok := e.(Send)
			if !ok {
				continue
			}
			ask := send.Msg.(proto.FreshAsk)
			f.askCounts[send.To]++
			f.lastAsked = send.To
			if f.silentHosts[send.To] {
				continue
			}
			f.fresh.Step(f.now.Add(time.Millisecond), Received{From: send.To, Msg: f.reply(send.To, ask)})
		}
	}
}

// reply returns the reply of a control host to an ask, with all control hosts as
// members.
func (f *relayFleet) reply(from model.HostID, ask proto.FreshAsk) proto.FreshReply {
	m := proto.FreshReply{Nonce: ask.Nonce, Newest: f.cfg.Version, FromControl: true, EntryHostCount: 48}
	if f.staleHosts[from] {
		m.Age = 5 * time.Second
	}
	if ask.HeldVersion == 0 {
		data, err := codec.EncodeConfig(f.cfg)
		require.NoError(f.t, err)
		m.Snapshot = data
	}
	for _, host := range f.cfg.Controls {
		m.Members = append(m.Members, controlMember(host, f.zones[host]))
	}
	m.MembersDigest = MembersDigest(m.Members)
	return m
}

// Guards against an entry host that asks several control hosts, or one of another
// zone, while a control host of its own zone answers.
func TestEntryHostAsksOneHostOfItsZone(t *testing.T) {
	f := newRelayFleet(t)
	f.run(15 * time.Second)
	clear(f.askCounts)
	f.run(4 * time.Second)
	require.Len(t, f.askCounts, 1)
	require.Equal(t, model.HostID("c"), f.lastAsked)
	require.Greater(t, f.fresh.FreshUntil(), f.now, "the entry host is not fresh")
}

// Guards against an entry host that keeps a relay that is down, or that answers but is
// cut off from the other control hosts and so has only old confirmations.
func TestEntryHostLeavesBadRelays(t *testing.T) {
	for name, spoil := range map[string]func(*relayFleet){
		"silent": func(f *relayFleet) { f.silentHosts["c"] = true },
		"stale":  func(f *relayFleet) { f.staleHosts["c"] = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t)
			f.run(15 * time.Second)
			spoil(f)
			f.run(1500 * time.Millisecond)
			require.NotEqual(t, model.HostID("c"), f.lastAsked)
			f.run(5 * time.Second)
			require.Greater(t, f.fresh.FreshUntil(), f.now, "the entry host is not fresh through another relay")
			delete(f.silentHosts, "c")
			delete(f.staleHosts, "c")
			f.run(12 * time.Second)
			require.Equal(t, model.HostID("c"), f.lastAsked, "it returns to its own zone")
		})
	}
}

// Guards against a relay that reports its confirmation as newer than it is. A withdrawn
// key would work for longer on the entry hosts that ask the relay.
func TestRelayReportsTheAgeOfItsConfirmation(t *testing.T) {
	self := proto.Member{Host: "c", Role: proto.RoleControl, Zone: "z2", Incarnation: 1}
	f := NewFreshnessClient(self, WithOwnerRole(proto.RoleControl), WithBootstrap([]model.HostID{"a"}, []model.HostID{"a"}))
	_, ok := f.RelayReply(1, proto.FreshAsk{})
	require.False(t, ok, "nothing is known yet")

	cfg := model.NewConfig([]model.HostID{"a"}, []model.HostID{"a"}).WithVersion(3)
	data, err := codec.EncodeConfig(cfg)
	require.NoError(t, err)
	var nonce uint64
	for _, e := range f.Step(model.Instant(time.Second), Tick{}) {
		nonce = e.(Send).Msg.(proto.FreshAsk).Nonce
	}
	at := model.Instant(time.Second).Add(10 * time.Millisecond)
	f.Step(at, Received{From: "a", Msg: proto.FreshReply{Nonce: nonce, Newest: 3, FromControl: true, Snapshot: data, Age: 100 * time.Millisecond}})
	reply, ok := f.RelayReply(at.Add(2*time.Second), proto.FreshAsk{Nonce: 9, HeldVersion: 3})
	require.True(t, ok)
	require.True(t, reply.FromControl)
	require.EqualValues(t, 9, reply.Nonce)
	require.GreaterOrEqual(t, reply.Age, 2110*time.Millisecond)
	require.Less(t, reply.Age, 2200*time.Millisecond)
}

// Guards against a fleet that stays down after all its control hosts restarted with
// settings that name no host that can lead. The configuration log of a host names the
// others, which the host must ask too.
func TestRestartedHostsAskTheControlHostsInTheirLog(t *testing.T) {
	boot := WithBootstrap([]model.HostID{"a", "b"}, []model.HostID{"a", "b"})
	known := HostsLocated{Seats: []model.HostID{"c", "d"}, Controls: []model.HostID{"c", "d"}}
	f := NewFreshnessClient(proto.Member{Host: "a", Role: proto.RoleControl, Incarnation: 1}, boot)
	f.Step(1, known)
	require.ElementsMatch(t, []model.HostID{"a", "b", "c", "d"}, recipientsOf(f.Step(model.Instant(time.Second), Tick{})))

	s := NewSeat("a", boot, WithIncarnation(1))
	s.Step(1, known)
	silence := model.Instant(1).Add(DefaultTiming().SilencePeriod)
	require.Subset(t, recipientsOf(s.Step(silence, Tick{})), []model.HostID{"c", "d"})
}

// recipientsOf returns the hosts to which effects send messages.
func recipientsOf(out []Effect) []model.HostID {
	var hosts []model.HostID
	for _, e := range out {
		if send, ok := e.(Send); ok {
			hosts = addHosts(hosts, []model.HostID{send.To})
		}
	}
	return hosts
}

// Guards against entry hosts that disappear from the members for a moment with every
// answer of a leader whose host is also a seat. The seats that the leader reports
// replaced the members that the seat reports.
func TestLeaderOnTheHostOfASeatDoesNotHideMembers(t *testing.T) {
	cfg := model.NewConfig([]model.HostID{"a"}, []model.HostID{"a"}).WithVersion(3)
	data, err := codec.EncodeConfig(cfg)
	require.NoError(t, err)
	f := NewFreshnessClient(proto.Member{Host: "a", Role: proto.RoleControl, Incarnation: 1}, WithOwnerRole(proto.RoleControl), WithBootstrap([]model.HostID{"a"}, []model.HostID{"a"}))
	members := []proto.Member{controlMember("a", "z1"), {Host: "entry", Role: proto.RoleEntry, Incarnation: 1}}
	now := model.Instant(time.Second)
	for round := range 4 {
		out := f.Step(now, Tick{})
		nonce := out[len(out)-1].(Send).Msg.(proto.FreshAsk).Nonce
		seat := proto.FreshReply{Nonce: nonce, Newest: 3, Members: members, MembersDigest: MembersDigest(members), Snapshot: data}
		leader := proto.FreshReply{Nonce: nonce, Newest: 3, FromControl: true, Members: members[:1], MembersDigest: MembersDigest(members[:1]), Snapshot: data}
		for _, m := range []proto.FreshReply{seat, leader} {
			for _, e := range f.Step(now, Received{From: "a", Msg: m}) {
				if changed, ok := e.(MembersChanged); ok {
					require.Len(t, changed.Members, 2, "round %d", round)
				}
			}
		}
		now = now.Add(500 * time.Millisecond)
	}
}

// Guards against entry hosts without an owner that do not learn of an acknowledged
// drain of a target, and against a list of targets that is taken from a reply to an
// earlier ask.
func TestRelayReportsLeavingTargets(t *testing.T) {
	f := newRelayFleet(t)
	f.run(5 * time.Second)
	list := []model.Announcement{{Service: "s", Target: "t1", Incarnation: 4, State: model.TargetDraining}}
	tell := func(targets []model.Announcement, digest uint64) []Effect {
		f.now = f.now.Add(time.Second)
		out := f.fresh.Step(f.now, Tick{})
		send := out[len(out)-1].(Send)
		reply := f.reply(send.To, send.Msg.(proto.FreshAsk))
		reply.Targets, reply.TargetsDigest = targets, digest
		return f.fresh.Step(f.now, Received{From: send.To, Msg: reply})
	}
	digest := codec.TargetsDigest(list)
	require.NotContains(t, tell(nil, digest), TargetsListed{}, "nothing was listed yet")
	require.Contains(t, tell(list, digest), TargetsListed{Targets: list})
	require.Contains(t, tell(nil, digest), TargetsListed{}, "the list is confirmed")
	require.NotContains(t, tell(nil, digest+1), TargetsListed{}, "another list, which is missing")
}

// Guards against entry hosts that know no other entry hosts when they are cut off from
// control and need a detour, and against a relay that repeats the list in every reply.
func TestRelayReportsTheEntryHostsOfTheZone(t *testing.T) {
	controls := []model.HostID{"c"}
	cfg := model.NewConfig(controls, controls).WithVersion(7)
	f := NewFreshnessClient(proto.Member{Host: "c", Role: proto.RoleControl, Incarnation: 1}, WithBootstrap(controls, controls))
	f.hist.replace(cfg)
	f.freshUntil = 1
	for i := range 60 {
		zone := model.ZoneName("z1")
		if i >= 20 {
			zone = "z2"
		}
		// An entry host that owns no shard announces itself as draining.
		f.members = append(f.members, proto.Member{Host: model.HostID(fmt.Sprintf("e%d", i)), Role: proto.RoleEntry, Zone: zone, Draining: true})
	}
	ask := proto.FreshAsk{HeldVersion: 7, Member: proto.Member{Host: "e1", Zone: "z1"}}
	reply, ok := f.RelayReply(1, ask)
	require.True(t, ok)
	require.Len(t, reply.Peers, 20+maxOtherZonePeers)
	ask.PeersDigest = reply.PeersDigest
	reply, _ = f.RelayReply(2, ask)
	require.Empty(t, reply.Peers)

	e := NewFreshnessClient(proto.Member{Host: "e1", Role: proto.RoleEntry, Zone: "z1", Incarnation: 1}, WithRelay())
	require.Contains(t, e.takeRelayLists(proto.FreshReply{Peers: []model.HostID{"e2"}, PeersDigest: 5}), PeersListed{Peers: []model.HostID{"e2"}})
	require.Empty(t, e.takeRelayLists(proto.FreshReply{PeersDigest: 5}))
}

// Guards against starting hosts that get the configuration and all lists from a control
// host of another zone, and against a host that is redirected endlessly to a control
// host of its own zone that does not answer.
func TestStartingHostIsSentToItsZone(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := newRelayFleet(t)
		f.silentHosts["c"] = silent
		far := 0
		for end := f.now.Add(4 * time.Second); f.now < end; f.now = f.now.Add(20 * time.Millisecond) {
			for _, e := range f.fresh.Step(f.now, Tick{}) {
				send, ok := e.(Send)
				if !ok || f.silentHosts[send.To] {
					continue
				}
				ask := send.Msg.(proto.FreshAsk)
				reply := f.reply(send.To, ask)
				if ask.Starting && f.zones[send.To] != "z2" {
					reply = proto.FreshReply{Nonce: ask.Nonce, Redirect: true, Members: reply.Members}
				} else if ask.HeldVersion == 0 && f.zones[send.To] != "z2" {
					far++
				}
				f.fresh.Step(f.now.Add(time.Millisecond), Received{From: send.To, Msg: reply})
			}
			if !silent && f.now > model.Instant(500*time.Millisecond) {
				require.NotZero(t, f.fresh.hist.version(), "it has a configuration after two round trips")
			}
		}
		require.Equal(t, f.cfg.Version, f.fresh.hist.version())
		if silent {
			require.Positive(t, far, "another zone serves it instead")
		} else {
			require.Zero(t, far)
		}
	}
}

// Guards against a relay that redirects a starting host although the host's zone has no
// live control host, so that the host gets no configuration.
func TestRelayServesStartingHostsOfZonesWithoutControl(t *testing.T) {
	f := NewFreshnessClient(controlMember("a", "z1"), WithRelay())
	f.members = []proto.Member{controlMember("a", "z1"), controlMember("c", "z2")}
	f.hist.replace(model.NewConfig(nil, nil).WithVersion(3))
	f.freshUntil = model.Instant(time.Minute)
	ask := func(zone model.ZoneName, starting bool) proto.FreshReply {
		m := proto.Member{Host: "e", Role: proto.RoleEntry, Zone: zone, Incarnation: 1}
		reply, ok := f.RelayReply(1, proto.FreshAsk{Nonce: 1, Member: m, Starting: starting})
		require.True(t, ok)
		return reply
	}
	require.Zero(t, ask("z2", true).Newest)
	require.Len(t, ask("z2", true).Members, 2)
	require.NotEmpty(t, ask("z2", false).Snapshot, "its own control host does not answer")
	require.NotEmpty(t, ask("z3", true).Snapshot, "its zone has none")
	require.NotEmpty(t, ask("z1", true).Snapshot)
}

// confirmedEntryHost returns a fleet whose entry host got a confirmation and two owners
// from relay c, and the nonce of its last ask.
func confirmedEntryHost(t *testing.T) (*relayFleet, uint64) {
	f := newRelayFleet(t)
	f.run(3 * time.Second)
	require.Equal(t, model.HostID("c"), f.lastAsked)
	f.now = f.now.Add(f.fresh.timing.AskInterval)
	var nonce uint64
	for _, e := range f.fresh.Step(f.now, Tick{}) {
		if send, ok := e.(Send); ok {
			nonce = send.Msg.(proto.FreshAsk).Nonce
		}
	}
	require.NotZero(t, nonce)
	reply := f.reply("c", proto.FreshAsk{Nonce: nonce, HeldVersion: f.cfg.Version})
	reply.Owners = []proto.Owner{{Shard: 1, Host: "a", Epoch: 5}, {Shard: 2, Host: "c", Epoch: 5}}
	reply.OwnersDigest = ownersDigest(reply.Owners)
	f.fresh.Step(f.now.Add(time.Millisecond), Received{From: "c", Msg: reply})
	require.Len(t, f.fresh.owners, 2)
	return f, nonce
}

// Guards against owners that disappear for 1.5 s on all entry hosts after a restart of
// the fleet. A late reply of the control host that they asked first, which knew no
// owners yet, counted along with that of their relay. A fifth of the requests of 2 s
// was refused as no_owner.
func TestLateReplyOfAnEarlierRelayChangesNoLists(t *testing.T) {
	f, nonce := confirmedEntryHost(t)
	late := f.reply("a", proto.FreshAsk{Nonce: nonce, HeldVersion: f.cfg.Version})
	late.OwnersDigest = ownersDigest(nil)
	for _, e := range f.fresh.Step(f.now.Add(2*time.Millisecond), Received{From: "a", Msg: late}) {
		switch e.(type) {
		case OwnersChanged, MembersChanged:
			require.Fail(t, "a late reply changed the lists", "%T", e)
		}
	}
	require.Len(t, f.fresh.owners, 2)
}

// Guards against shards without an owner after a change of the relay. Shards that moved
// in the meantime had no owner until the lists of the earlier relay had expired.
func TestListsOfANewRelayCountAtOnce(t *testing.T) {
	f, _ := confirmedEntryHost(t)
	for _, host := range f.cfg.Controls {
		f.silentHosts[host] = true
	}
	f.run(time.Second)
	require.NotEqual(t, model.HostID("c"), f.lastAsked)
	require.Len(t, f.fresh.owners, 2, "the owners of the earlier relay stay until then")
	var nonce uint64
	for nonce == 0 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, e := range f.fresh.Step(f.now, Tick{}) {
			if send, ok := e.(Send); ok {
				nonce, f.lastAsked = send.Msg.(proto.FreshAsk).Nonce, send.To
			}
		}
	}
	reply := f.reply(f.lastAsked, proto.FreshAsk{Nonce: nonce, HeldVersion: f.cfg.Version})
	reply.Owners = []proto.Owner{{Shard: 1, Host: "a", Epoch: 5}, {Shard: 2, Host: "a", Epoch: 9}, {Shard: 3, Host: "b", Epoch: 9}}
	reply.OwnersDigest = ownersDigest(reply.Owners)
	f.fresh.Step(f.now.Add(time.Millisecond), Received{From: f.lastAsked, Msg: reply})
	require.Equal(t, reply.Owners, f.fresh.owners)
}

// Guards against a host that takes a redirect for a confirmation. It would admit
// requests with a withdrawn key for longer than it may.
func TestRedirectConfirmsNothing(t *testing.T) {
	f, _ := confirmedEntryHost(t)
	until := f.fresh.FreshUntil()
	// A later ask, which nothing has confirmed yet.
	f.now = f.now.Add(f.fresh.timing.AskInterval)
	var nonce uint64
	for _, e := range f.fresh.Step(f.now, Tick{}) {
		if send, ok := e.(Send); ok {
			nonce = send.Msg.(proto.FreshAsk).Nonce
		}
	}
	require.NotZero(t, nonce)
	relay := NewFreshnessClient(controlMember("a", "z1"), WithRelay())
	relay.members = []proto.Member{controlMember("a", "z1"), controlMember("c", "z2")}
	relay.hist.replace(f.cfg)
	relay.freshUntil = f.now
	reply, ok := relay.RelayReply(f.now, proto.FreshAsk{Nonce: nonce, Member: proto.Member{Host: "entry", Zone: "z2"}, Starting: true})
	require.True(t, ok)
	require.Empty(t, f.fresh.Step(f.now.Add(50*time.Millisecond), Received{From: "a", Msg: reply}))
	require.Equal(t, until, f.fresh.FreshUntil())
}
