package admit

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// noteEvery is the interval between notes of a shard with buckets in use.
	noteEvery = 250 * time.Millisecond
	// ackWithin is how long without an acknowledgement the standby gets notes
	// with tokens. Its earlier notes expire after that.
	ackWithin = time.Second
	// lowerWithin is how long a host that lacks tokens asks again at once while
	// the standby is about to acknowledge a smaller reserve.
	lowerWithin = 5 * time.Millisecond
	// maxReserves bounds the reserves of a note to some 5 KiB, so that it does not delay other messages on its link.
	maxReserves = 128
)

// standby is what the owner of a shard knows of the next candidate for it.
type standby struct {
	host model.HostID
	// after is the number of the last note before this standby. Answers to it
	// or earlier ones may be older than what the host told before.
	after uint64
	// run and heard are those of the newest acknowledgement, run 0 without any.
	run     model.Incarnation
	heard   model.Instant
	ackedAt model.Instant
	noteAt  model.Instant
	// extended is when everything that host may hold has expired, on this host's clock.
	extended model.Instant
	sent     []sentNote
}

// sentNote is a note without an acknowledgement.
type sentNote struct {
	nonce   uint64
	at      model.Instant
	buckets []*bucket
}

// escrow is a number of tokens that a standby may hold.
type escrow struct {
	host   model.HostID
	nonce  uint64
	tokens int
	// until is its end of validity unless the present standby's is extended.
	until model.Instant
}

// noteState is the newest reserve of a bucket that was sent to the present standby.
type noteState struct {
	tokens int
	limits model.Limits
	nonce  uint64
	sentAt model.Instant
	// pending is set until the standby acknowledges it.
	pending bool
	// due is set to send a new one at the next occasion.
	due bool
}

// follow replaces the standby. The earlier one may hold reserves until they expire.
func (sh *ownedShard) follow(host model.HostID, after uint64) {
	st := &sh.standby
	if !sh.owned || st.host == host {
		return
	}
	for _, b := range sh.order {
		for i := range b.escrow {
			if e := &b.escrow[i]; e.host == st.host {
				e.until = max(e.until, st.extended)
			}
		}
	}
	sh.standby = standby{host: host, after: after}
	sh.forgetNotes()
}

// forgetNotes makes every bucket send its reserve again, to a standby that may hold none.
func (sh *ownedShard) forgetNotes() {
	for _, b := range sh.order {
		b.note = noteState{}
	}
}

// kept returns the tokens of a bucket that some standby may hold.
func (sh *ownedShard) kept(now model.Instant, b *bucket) int {
	most, n := 0, 0
	for _, e := range b.escrow {
		until := e.until
		if e.host == sh.standby.host {
			until = max(until, sh.standby.extended)
		}
		if now >= until {
			continue
		}
		b.escrow[n] = e
		n++
		most = max(most, e.tokens)
	}
	b.escrow = b.escrow[:n]
	return most
}

func (sh *ownedShard) standbyAnswers(now model.Instant) bool {
	return sh.standby.run != 0 && now.Sub(sh.standby.ackedAt) < ackWithin
}

// noteAll sends the notes whose interval has passed. They also extend what the standby holds.
func (o *Owner) noteAll(now model.Instant) {
	for i := range o.shards {
		sh := &o.shards[i]
		if !sh.owned || len(sh.order) == 0 || now < sh.standby.noteAt || sh.until <= now {
			continue
		}
		sh.standby.noteAt = now.Add(noteEvery)
		var due []*bucket
		for _, b := range sh.order {
			if o.due(now, sh, b) {
				due = append(due, b)
			}
		}
		o.sendNotes(now, model.ShardID(i), due)
	}
}

// due sets the reserve that a bucket should have, half of its tokens while it
// is in use, and reports whether the standby has to be told. Small rises wait.
func (o *Owner) due(now model.Instant, sh *ownedShard, b *bucket) bool {
	o.refill(now, sh, b)
	target := int(b.tokens / 2)
	if now.Sub(b.used) >= idleAfter {
		target = 0
	}
	n := &b.note
	rises := target-n.tokens > n.tokens/8
	falls := target == 0 && n.tokens > 0 || b.tokens-float64(n.tokens) < float64(n.tokens)/2
	unknown := n.nonce == 0 && len(b.escrow) > 0
	if !n.pending && !n.due && !rises && !falls && !unknown {
		return false
	}
	n.tokens = target
	return true
}

// lower sends a smaller reserve when the rest of a bucket becomes scarce, so
// that the standby's acknowledgement makes the difference usable.
func (o *Owner) lower(now model.Instant, sh *ownedShard, b *bucket, keep, missing int) {
	if keep == 0 || missing <= 0 && b.tokens-float64(keep) >= float64(keep)/2 || !sh.standbyAnswers(now) {
		return
	}
	target := max(0, int((b.tokens-float64(missing))/2))
	n := &b.note
	if n.nonce != 0 && n.tokens <= target && (!n.pending || now.Sub(n.sentAt) < resendAfter) {
		return
	}
	n.tokens = min(n.tokens, target)
	o.sendNotes(now, model.WorkspaceShard(b.workspace), []*bucket{b})
}

// sendNotes sends the reserves of buckets to the standby, in at least one note.
func (o *Owner) sendNotes(now model.Instant, id model.ShardID, due []*bucket) {
	sh := &o.shards[id]
	st := &sh.standby
	if st.host == "" {
		return
	}
	if !sh.standbyAnswers(now) {
		o.nonce++
		o.reply(st.host, proto.StandbyNote{Shard: id, Epoch: sh.epoch, Nonce: o.nonce})
		return
	}
	st.extended = now.Add(o.atLeast(noteValid))
	st.sent = slices.DeleteFunc(st.sent, func(s sentNote) bool { return now.Sub(s.at) >= ackWithin })
	for first := true; first || len(due) > 0; first = false {
		n := min(len(due), maxReserves)
		o.sendNote(now, id, due[:n:n])
		due = due[n:]
	}
}

func (o *Owner) sendNote(now model.Instant, id model.ShardID, buckets []*bucket) {
	sh := &o.shards[id]
	st := &sh.standby
	o.nonce++
	m := proto.StandbyNote{Shard: id, Epoch: sh.epoch, Nonce: o.nonce, StandbyIncarnation: st.run, AckedAt: st.heard}
	for _, b := range buckets {
		n := &b.note
		*n = noteState{tokens: n.tokens, limits: b.limits, nonce: o.nonce, sentAt: now, pending: true}
		if n.tokens > 0 {
			b.escrow = append(b.escrow, escrow{host: st.host, nonce: o.nonce, tokens: n.tokens, until: st.extended})
		}
		m.Reserves = append(m.Reserves, proto.TokenReserve{Workspace: b.workspace, Limits: b.limits, Tokens: n.tokens})
	}
	if len(buckets) > 0 {
		st.sent = append(st.sent, sentNote{nonce: o.nonce, at: now, buckets: buckets})
	}
	o.reply(st.host, m)
}

// acknowledged takes the answer to a note. What the standby held before it is void.
func (o *Owner) acknowledged(now model.Instant, from model.HostID, m proto.StandbyAck) {
	if m.Shard >= model.WorkspaceShards {
		return
	}
	sh := &o.shards[m.Shard]
	st := &sh.standby
	if !sh.owned || m.Epoch != sh.epoch || from != st.host || m.Nonce <= st.after {
		return
	}
	if m.Stored {
		st.confirm(m.Nonce)
	}
	if m.Incarnation < st.run || m.Incarnation == st.run && m.SentAt <= st.heard {
		return
	}
	// After a gap the standby's reserves may have expired on its own clock.
	if m.Incarnation != st.run || !sh.standbyAnswers(now) || m.SentAt.Sub(st.heard) >= ackWithin {
		sh.forgetNotes()
		st.noteAt = now
	}
	st.run, st.heard, st.ackedAt = m.Incarnation, m.SentAt, now
}

func (st *standby) confirm(nonce uint64) {
	i := slices.IndexFunc(st.sent, func(s sentNote) bool { return s.nonce == nonce })
	if i < 0 {
		return
	}
	for _, b := range st.sent[i].buckets {
		b.escrow = slices.DeleteFunc(b.escrow, func(e escrow) bool { return e.host == st.host && e.nonce < nonce })
		if b.note.nonce == nonce {
			b.note.pending = false
		}
	}
	st.sent = slices.Delete(st.sent, i, i+1)
}
