package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Guards against shards without owners for seconds after all hosts restarted at
// once. Requests within the rate were refused until all leases and confirmations
// from before the restart must have ended. The bound is SilencePeriod, which a seat
// without a persisted state waits before it grants any shard.
func TestOwnersReturnBeforeSilenceEndsWhenAllHostsRestart(t *testing.T) {
	w := newWorld(t, 1)
	w.runUntil(4 * time.Second)
	require.True(t, w.leader.propose(model.SetSeats{Seats: w.bootstrapSeats[:3]}))
	w.runUntil(20 * time.Second)
	w.requireRecovered()
	for _, h := range w.hosts {
		w.start(h)
	}
	w.runUntil(w.now + DefaultTiming().SilencePeriod)
	w.requireRecovered()
}

// Guards against an answer that grants a shard before the grant is on the disk. After
// a power loss the seat would grant the shard to another host as well.
func TestNewGrantsAreKeptBeforeTheAnswer(t *testing.T) {
	s := NewSeat("a", WithPersistedState(PersistedState{Grants: []proto.Owner{{Shard: 1, Host: "x", Epoch: 5}}}), WithIncarnation(1))
	s.Step(1, Tick{})
	ask := func(from model.HostID, nonce uint64, claims ...proto.Claim) []Effect {
		return s.Step(2, Received{From: from, Msg: proto.LeaseAsk{Nonce: nonce, Claims: claims}})
	}

	out := ask("x", 1, proto.Claim{Shard: 1, Epoch: 9})
	require.Len(t, out, 1)
	keep := out[0].(PersistGrants)
	require.Equal(t, []proto.Owner{{Shard: 1, Host: "x", Epoch: 9}}, keep.Grants)
	require.Len(t, keep.Reply.Msg.(proto.LeaseReply).Granted, 1)

	out = ask("x", 2, proto.Claim{Shard: 1, Epoch: 9})
	require.IsType(t, PersistGrants{}, out[0], "a renewal was answered before the grant was on the disk")
	s.Step(2, GrantsPersisted{Number: out[0].(PersistGrants).Number})
	require.IsType(t, Send{}, ask("x", 3, proto.Claim{Shard: 1, Epoch: 9})[0])
}

// Guards against a restarted seat that grants a shard to another host while the lease
// of the previous holder may not have ended.
func TestRestartedSeatGrantsOnlyToTheHolder(t *testing.T) {
	memory := PersistedState{Grants: []proto.Owner{{Shard: 1, Host: "x", Epoch: 5}}}
	granted := func(s *Seat, now model.Instant, from model.HostID) int {
		out := s.Step(now, Received{From: from, Msg: proto.LeaseAsk{Claims: []proto.Claim{{Shard: 1, Epoch: 9}, {Shard: 2, Epoch: 9}}}})
		if len(out) == 0 {
			return 0
		}
		if keep, ok := out[0].(PersistGrants); ok {
			return len(keep.Reply.Msg.(proto.LeaseReply).Granted)
		}
		return len(out[0].(Send).Msg.(proto.LeaseReply).Granted)
	}
	before := model.Instant(1).Add(DefaultTiming().SilencePeriod) - 1
	for _, c := range []struct {
		name   string
		memory PersistedState
		from   model.HostID
		want   int
	}{
		{name: "holder", memory: memory, from: "x", want: 1},
		{name: "other host", memory: memory, from: "y", want: 0},
		{name: "empty disk", memory: PersistedState{}, from: "x", want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSeat("a", WithPersistedState(c.memory), WithIncarnation(1))
			s.Step(1, Tick{})
			s.activate(2)
			require.Equal(t, c.want, granted(s, before, c.from))
		})
	}
}
