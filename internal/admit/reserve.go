package admit

import (
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const noteValid = model.ReserveValid

// reserve is what the owner of a shard has set aside at this host, its standby.
type reserve struct {
	// epoch is the greatest epoch heard of; notes are of this epoch.
	epoch model.Epoch
	// until is the end of validity of all notes.
	until model.Instant
	notes map[model.WorkspaceID]reserveNote
}

type reserveNote struct {
	nonce  uint64
	limits model.Limits
	tokens int
	// until is when every note of a lower number has expired as well.
	until model.Instant
}

// hold takes a note. Its validity counts from an instant that this host sent,
// so a delayed note does not live longer than the owner expects.
func (o *Owner) hold(now model.Instant, from model.HostID, m proto.StandbyNote) {
	if m.Shard >= model.WorkspaceShards || m.Epoch < o.reserves[m.Shard].epoch {
		return
	}
	r := &o.reserves[m.Shard]
	if m.Epoch > r.epoch || now >= r.until {
		*r = reserve{epoch: m.Epoch}
	}
	until := m.AckedAt.Add(o.atMost(noteValid))
	held := m.StandbyIncarnation != 0 && m.StandbyIncarnation == o.incarnation && now < until
	if held {
		r.until = max(r.until, until)
		r.put(m, until)
	}
	o.reply(from, proto.StandbyAck{Shard: m.Shard, Epoch: m.Epoch, Nonce: m.Nonce, Stored: held, Incarnation: o.incarnation, SentAt: now})
}

func (r *reserve) put(m proto.StandbyNote, until model.Instant) {
	if r.notes == nil {
		r.notes = map[model.WorkspaceID]reserveNote{}
	}
	for _, n := range m.Reserves {
		if r.notes[n.Workspace].nonce < m.Nonce {
			r.notes[n.Workspace] = reserveNote{nonce: m.Nonce, limits: n.Limits, tokens: n.Tokens, until: until}
		}
	}
}

// sweep frees expired notes. A note without tokens stays until no earlier note can arrive.
func (r *reserve) sweep(now model.Instant) {
	if now >= r.until {
		r.notes = nil
		return
	}
	maps.DeleteFunc(r.notes, func(_ model.WorkspaceID, n reserveNote) bool { return n.tokens == 0 && now >= n.until })
}

// useReserve lets the buckets of a gained shard start with what the previous
// owner set aside. An epoch between that owner's and this one may have filled
// buckets of its own, and under other limits the number means another share of the burst.
func (o *Owner) useReserve(now model.Instant, ev OwnershipGained) {
	r := &o.reserves[ev.Shard]
	if ev.PreviousEpoch != 0 && r.epoch == ev.PreviousEpoch && now < r.until {
		for _, ws := range slices.Sorted(maps.Keys(r.notes)) {
			if n := r.notes[ws]; n.tokens > 0 && o.configured && n.limits == o.cfg.LimitsFor(ws) {
				o.bucket(now, &o.shards[ev.Shard], ws).tokens = float64(n.tokens)
			}
		}
	}
	*r = reserve{epoch: r.epoch}
}
