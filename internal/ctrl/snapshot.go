package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxIncoming bounds the offers of snapshots that a follower remembers.
const maxIncoming = 8

// installMessage offers the newest snapshot, or an older one whose transfer is
// under way and whose following entries the log still holds.
func (n *Node) installMessage() proto.InstallSnapshot {
	if !n.sendingOlder() {
		n.offered = n.snapshot
	}
	m := proto.InstallSnapshot{Term: n.term, LastIndex: n.offered.Index, LastTerm: n.offered.Term, Round: n.lead.round}
	m.Data, m.Offer = n.sender.Offer(n.now, n.offered.Data)
	return m
}

func (n *Node) sendingOlder() bool {
	return n.offered.Index < n.snapshot.Index && n.offered.Index+1 >= n.log.first && n.sender.IsSending(n.now, n.offered.Data)
}

// keepLogFrom returns the index up to which the log may be dropped, less its
// tail: that of the snapshot. Entries after a snapshot that is being sent stay, so that its receiver
// needs no second one, but not more than lead to two snapshots: a receiver
// that never finishes must not hold the log forever.
func (n *Node) keepLogFrom() uint64 {
	index := n.snapshot.Index
	sending := n.offered.Data != nil && n.sender.IsSending(n.now, n.offered.Data)
	if !sending || n.applied-n.offered.Index > 2*n.opt.snapshotEvery {
		return index
	}
	return min(index, n.offered.Index+logTail)
}

// receiveParts takes the offer of a snapshot that is too long for one message.
func (n *Node) receiveParts(from model.HostID, m proto.InstallSnapshot) {
	n.incoming = slices.DeleteFunc(n.incoming, func(o proto.InstallSnapshot) bool { return o.Offer.ID == m.Offer.ID })
	if len(n.incoming) >= maxIncoming {
		n.incoming = slices.Delete(n.incoming, 0, 1)
	}
	n.incoming = append(n.incoming, m)
	n.sendAsks(n.receiver.Offer(n.now, from, *m.Offer, m.LastIndex))
	n.replyAppend(from, false, n.commit, m.Round)
}

func (n *Node) sendAsks(asks []part.Request) {
	for _, a := range asks {
		n.send(a.To, a.Msg)
	}
}

// partTick repeats a request that was lost, and ends a transfer that became
// needless because the log caught up.
func (n *Node) partTick() {
	n.sender.Expire(n.now)
	if index, ok := n.receiver.RunningRank(); ok && n.hasBase && index <= n.commit {
		n.stopReceiving()
	}
	n.sendAsks(n.receiver.Tick(n.now))
}

func (n *Node) stopReceiving() {
	n.receiver.Stop()
	n.incoming = nil
}

// onPart installs a snapshot once it is complete. What it holds was committed,
// so it is right in any term. Only the leader that offered it in this term is
// told; any other learns of it from the next reply.
func (n *Node) onPart(from model.HostID, m proto.Part) {
	asks, data := n.receiver.Part(n.now, from, m)
	n.sendAsks(asks)
	if data == nil {
		return
	}
	i := slices.IndexFunc(n.incoming, func(o proto.InstallSnapshot) bool { return o.Offer.ID == m.Snapshot })
	if i < 0 {
		return
	}
	offer := n.incoming[i]
	n.stopReceiving()
	if term, ok := n.log.term(offer.LastIndex); n.hasBase && (offer.LastIndex <= n.commit || ok && term == offer.LastTerm) {
		return
	}
	if err := n.replaceLog(Snapshot{Index: offer.LastIndex, Term: offer.LastTerm, Data: data}); err != nil {
		return
	}
	if n.term == offer.Term && n.leader != "" {
		n.replyAppend(n.leader, true, offer.LastIndex, offer.Round)
	}
}
