package admit

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// noteInterval is the interval between the notes about a shard that has buckets.
	noteInterval = 250 * time.Millisecond
	// ackTimeout is how long after its last acknowledgement a standby is still
	// sent reserves. After that its notes are empty and the reserves that it
	// holds expire.
	ackTimeout = time.Second
	// lowerAckWait is how long after a smaller reserve was sent the standby's
	// acknowledgement is expected, so that a host that lacks tokens is told to
	// ask again at once.
	lowerAckWait = 5 * time.Millisecond
	// maxReservesPerNote bounds a note to some 5 KiB, so that it does not delay
	// other messages on its link.
	maxReservesPerNote = 128
)

// standbyState is what the owner of a shard knows about the shard's standby,
// the next candidate for it.
type standbyState struct {
	// host is the standby, or "" if there is none.
	host model.HostID
	// previousNonce is the nonce of the last note before host became the standby.
	// Acknowledgements of that note and earlier ones are ignored: they may come
	// from an earlier time at which host was the standby.
	previousNonce uint64
	// incarnation is the run of the standby that sent the newest acknowledgement, or 0.
	incarnation model.Incarnation
	// lastAckInstant is when the newest acknowledgement was sent, on the standby's clock.
	lastAckInstant model.Instant
	// lastAckAt is when the newest acknowledgement arrived, on this host's clock.
	lastAckAt  model.Instant
	nextNoteAt model.Instant
	// reservesUntil is when all reserves that the standby may hold have expired,
	// on this host's clock.
	reservesUntil model.Instant
	// unacknowledged holds the notes with reserves that were sent within
	// ackTimeout and are not acknowledged.
	unacknowledged []unacknowledgedNote
}

// unacknowledgedNote is a StandbyNote in flight, with the buckets whose
// reserves it contains.
type unacknowledgedNote struct {
	nonce   uint64
	sentAt  model.Instant
	buckets []*bucket
}

// outstandingReserve is a number of tokens of a bucket that a standby may hold,
// and that the owner must not grant before they expire or are replaced.
type outstandingReserve struct {
	// host is the standby, and nonce the number of the note with the reserve.
	host   model.HostID
	nonce  uint64
	tokens int
	// validUntil is when the reserve expires. If host is the present standby,
	// later notes may have extended it up to standbyState.reservesUntil.
	validUntil model.Instant
}

// reserveState is the newest reserve of a bucket for the present standby.
// A nonce of 0 means that no note has contained one since the last reset.
type reserveState struct {
	tokens int
	limits model.Limits
	nonce  uint64
	sentAt model.Instant
	// isPending is set while the note with the reserve is not acknowledged.
	isPending bool
	// resend makes the next note contain the reserve even if its tokens hardly changed.
	resend bool
}

// replaceStandby replaces the standby of an owned shard. The earlier standby
// may hold its reserves until they expire. lastNonce is the nonce of the newest
// note, which is not for the new standby.
func (sh *ownedShard) replaceStandby(host model.HostID, lastNonce uint64) {
	st := &sh.standby
	if !sh.owned || st.host == host {
		return
	}
	for _, b := range sh.bucketList {
		for i := range b.outstanding {
			if e := &b.outstanding[i]; e.host == st.host {
				e.validUntil = max(e.validUntil, st.reservesUntil)
			}
		}
	}
	sh.standby = standbyState{host: host, previousNonce: lastNonce}
	sh.resetReserves()
}

// resetReserves makes the next notes contain the reserves of all buckets,
// because the standby may hold none of them.
func (sh *ownedShard) resetReserves() {
	for _, b := range sh.bucketList {
		b.reserve = reserveState{}
	}
}

// reservedTokens returns how many tokens of a bucket a standby may hold. Of
// several reserves the greatest counts, since the shard can have only one next
// owner. Expired reserves are removed from the bucket.
func (sh *ownedShard) reservedTokens(now model.Instant, b *bucket) int {
	most, n := 0, 0
	for _, e := range b.outstanding {
		until := e.validUntil
		if e.host == sh.standby.host {
			until = max(until, sh.standby.reservesUntil)
		}
		if now >= until {
			continue
		}
		b.outstanding[n] = e
		n++
		most = max(most, e.tokens)
	}
	b.outstanding = b.outstanding[:n]
	return most
}

// standbyAnswers reports whether the standby has acknowledged a note within ackTimeout.
func (sh *ownedShard) standbyAnswers(now model.Instant) bool {
	return sh.standby.incarnation != 0 && now.Sub(sh.standby.lastAckAt) < ackTimeout
}

// sendDueNotes sends notes about the shards whose noteInterval has passed. Each
// note also extends the reserves that the standby holds for the shard.
func (o *Owner) sendDueNotes(now model.Instant) {
	for i := range o.shards {
		sh := &o.shards[i]
		if !sh.owned || len(sh.bucketList) == 0 || now < sh.standby.nextNoteAt || sh.leaseUntil <= now {
			continue
		}
		sh.standby.nextNoteAt = now.Add(noteInterval)
		var due []*bucket
		for _, b := range sh.bucketList {
			if o.updateReserve(now, sh, b) {
				due = append(due, b)
			}
		}
		o.sendNotes(now, model.ShardID(i), due)
	}
}

// updateReserve reports whether a bucket needs a new reserve at the standby and
// sets its size: half of the tokens, or none if the bucket is idle. A rise of
// the reserve by an eighth or less does not need a note.
func (o *Owner) updateReserve(now model.Instant, sh *ownedShard, b *bucket) bool {
	o.refill(now, sh, b)
	target := int(b.tokens / 2)
	if now.Sub(b.lastUsedAt) >= bucketIdleTimeout {
		target = 0
	}
	r := &b.reserve
	rises := target-r.tokens > r.tokens/8
	falls := target == 0 && r.tokens > 0 || b.tokens-float64(r.tokens) < float64(r.tokens)/2
	// The standby may hold an earlier reserve that the next note has to replace.
	unknown := r.nonce == 0 && len(b.outstanding) > 0
	if !r.isPending && !r.resend && !rises && !falls && !unknown {
		return false
	}
	r.tokens = target
	return true
}

// lowerReserve sends a smaller reserve to the standby when the unreserved tokens
// of a bucket are too few or become scarce. Once the standby acknowledges it,
// the owner may grant the difference. reserved is the number of tokens that a
// standby may hold, and missing how many tokens the last draw lacked.
func (o *Owner) lowerReserve(now model.Instant, sh *ownedShard, b *bucket, reserved, missing int) {
	if reserved == 0 || missing <= 0 && b.tokens-float64(reserved) >= float64(reserved)/2 || !sh.standbyAnswers(now) {
		return
	}
	target := max(0, int((b.tokens-float64(missing))/2))
	r := &b.reserve
	if r.nonce != 0 && r.tokens <= target && (!r.isPending || now.Sub(r.sentAt) < resendInterval) {
		return
	}
	r.tokens = min(r.tokens, target)
	o.sendNotes(now, model.WorkspaceShard(b.workspace), []*bucket{b})
}

// sendNotes sends the reserves of the due buckets to the standby, in at least
// one note. A standby that does not answer gets one note without reserves.
func (o *Owner) sendNotes(now model.Instant, id model.ShardID, due []*bucket) {
	sh := &o.shards[id]
	st := &sh.standby
	if st.host == "" {
		return
	}
	if !sh.standbyAnswers(now) {
		o.lastNonce++
		o.send(st.host, proto.StandbyNote{Shard: id, Epoch: sh.epoch, Nonce: o.lastNonce})
		return
	}
	st.reservesUntil = now.Add(o.localAtLeast(reserveValidity))
	st.unacknowledged = slices.DeleteFunc(st.unacknowledged, func(s unacknowledgedNote) bool { return now.Sub(s.sentAt) >= ackTimeout })
	for first := true; first || len(due) > 0; first = false {
		n := min(len(due), maxReservesPerNote)
		o.sendNote(now, id, due[:n:n])
		due = due[n:]
	}
}

// sendNote sends one note with the reserves of buckets to a standby that answers.
func (o *Owner) sendNote(now model.Instant, id model.ShardID, buckets []*bucket) {
	sh := &o.shards[id]
	st := &sh.standby
	o.lastNonce++
	m := proto.StandbyNote{Shard: id, Epoch: sh.epoch, Nonce: o.lastNonce, StandbyIncarnation: st.incarnation, AckedAt: st.lastAckInstant}
	for _, b := range buckets {
		r := &b.reserve
		*r = reserveState{tokens: r.tokens, limits: b.limits, nonce: o.lastNonce, sentAt: now, isPending: true}
		if r.tokens > 0 {
			b.outstanding = append(b.outstanding, outstandingReserve{host: st.host, nonce: o.lastNonce, tokens: r.tokens, validUntil: st.reservesUntil})
		}
		m.Reserves = append(m.Reserves, proto.TokenReserve{Workspace: b.workspace, Limits: b.limits, Tokens: r.tokens})
	}
	if len(buckets) > 0 {
		st.unacknowledged = append(st.unacknowledged, unacknowledgedNote{nonce: o.lastNonce, sentAt: now, buckets: buckets})
	}
	o.send(st.host, m)
}

// handleStandbyAck processes the acknowledgement of a note. Its Stored flag
// confirms that the reserves of the note replaced earlier ones.
func (o *Owner) handleStandbyAck(now model.Instant, from model.HostID, m proto.StandbyAck) {
	if m.Shard >= model.WorkspaceShards {
		return
	}
	sh := &o.shards[m.Shard]
	st := &sh.standby
	if !sh.owned || m.Epoch != sh.epoch || from != st.host || m.Nonce <= st.previousNonce {
		return
	}
	if m.Stored {
		st.confirm(m.Nonce)
	}
	if m.Incarnation < st.incarnation || m.Incarnation == st.incarnation && m.SentAt <= st.lastAckInstant {
		return
	}
	// After a gap between acknowledgements the reserves may have expired on the standby's clock.
	if m.Incarnation != st.incarnation || !sh.standbyAnswers(now) || m.SentAt.Sub(st.lastAckInstant) >= ackTimeout {
		sh.resetReserves()
		st.nextNoteAt = now
	}
	st.incarnation, st.lastAckInstant, st.lastAckAt = m.Incarnation, m.SentAt, now
}

// confirm removes the outstanding reserves that the standby replaced when it
// stored the note with a nonce.
func (st *standbyState) confirm(nonce uint64) {
	i := slices.IndexFunc(st.unacknowledged, func(s unacknowledgedNote) bool { return s.nonce == nonce })
	if i < 0 {
		return
	}
	for _, b := range st.unacknowledged[i].buckets {
		b.outstanding = slices.DeleteFunc(b.outstanding, func(e outstandingReserve) bool { return e.host == st.host && e.nonce < nonce })
		if b.reserve.nonce == nonce {
			b.reserve.isPending = false
		}
	}
	st.unacknowledged = slices.Delete(st.unacknowledged, i, i+1)
}
