package admit

import (
	"maps"
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// reserveValidity is how long a standby may use a reserve, counted from the
// instant of its acknowledgement that the note with the reserve repeats.
const reserveValidity = model.ReserveValidity

// standbyReserves holds the reserves that the owner of a shard sent to this
// host, its standby. This host's buckets start with them if it is the next owner.
type standbyReserves struct {
	// epoch is the greatest epoch of the notes so far. The reserves are of this epoch.
	epoch model.Epoch
	// validUntil is when all reserves expire.
	validUntil  model.Instant
	byWorkspace map[model.WorkspaceID]heldReserve
}

// heldReserve is the newest reserve of one workspace.
type heldReserve struct {
	// nonce is the number of the note with the reserve. Notes with lower numbers
	// that arrive later are ignored.
	nonce uint64
	// limits are the limits under which the owner set the tokens aside.
	limits model.Limits
	tokens int
	// validUntil is when the note with the reserve expires, and with it every
	// note of a lower number.
	validUntil model.Instant
}

// storeReserves stores the reserves of a StandbyNote and acknowledges it. Their
// validity counts from an instant on this host's clock that the note repeats,
// so a delayed note is not valid for longer than the owner expects.
func (o *Owner) storeReserves(now model.Instant, from model.HostID, m proto.StandbyNote) {
	if m.Shard >= model.WorkspaceShards || m.Epoch < o.heldReserves[m.Shard].epoch {
		return
	}
	r := &o.heldReserves[m.Shard]
	if m.Epoch > r.epoch || now >= r.validUntil {
		*r = standbyReserves{epoch: m.Epoch}
	}
	until := m.AckedAt.Add(o.localAtMost(reserveValidity))
	held := m.StandbyIncarnation != 0 && m.StandbyIncarnation == o.incarnation && now < until
	if held {
		r.validUntil = max(r.validUntil, until)
		r.store(m, until)
	}
	o.send(from, proto.StandbyAck{Shard: m.Shard, Epoch: m.Epoch, Nonce: m.Nonce, Stored: held, Incarnation: o.incarnation, SentAt: now})
}

// store replaces the reserves of earlier notes by those of m.
func (r *standbyReserves) store(m proto.StandbyNote, until model.Instant) {
	if r.byWorkspace == nil {
		r.byWorkspace = map[model.WorkspaceID]heldReserve{}
	}
	for _, n := range m.Reserves {
		if r.byWorkspace[n.Workspace].nonce < m.Nonce {
			r.byWorkspace[n.Workspace] = heldReserve{nonce: m.Nonce, limits: n.Limits, tokens: n.Tokens, validUntil: until}
		}
	}
}

// dropExpired removes the reserves when all of them have expired. An empty
// reserve is removed earlier, but only once a delayed note with a lower nonce
// has expired too.
func (r *standbyReserves) dropExpired(now model.Instant) {
	if now >= r.validUntil {
		r.byWorkspace = nil
		return
	}
	maps.DeleteFunc(r.byWorkspace, func(_ model.WorkspaceID, n heldReserve) bool { return n.tokens == 0 && now >= n.validUntil })
}

// applyReserve adds the reserves of the previous owner to the buckets of a shard
// that this host gained. The reserves are void if there was an epoch in between,
// whose owner may have granted the tokens from buckets of its own, and for a
// workspace whose limits have changed, where the number of tokens is
// another fraction of the burst.
func (o *Owner) applyReserve(now model.Instant, ev OwnershipGained) {
	r := &o.heldReserves[ev.Shard]
	if ev.PreviousEpoch != 0 && r.epoch == ev.PreviousEpoch && now < r.validUntil {
		for _, ws := range slices.Sorted(maps.Keys(r.byWorkspace)) {
			if n := r.byWorkspace[ws]; n.tokens > 0 && o.configured && n.limits == o.cfg.LimitsFor(ws) {
				o.bucket(now, &o.shards[ev.Shard], ws).tokens = float64(n.tokens)
			}
		}
	}
	*r = standbyReserves{epoch: r.epoch}
}
