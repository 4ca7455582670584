package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxIncomingOffers is the number of snapshot offers that a follower keeps.
const maxIncomingOffers = 8

// newInstallSnapshot returns a message with the newest snapshot, or with an
// older one if its transfer has begun and the log still holds the entries after
// it.
func (n *Node) newInstallSnapshot() proto.InstallSnapshot {
	if !n.isSendingOlder() {
		n.offeredSnapshot = n.snapshot
	}
	m := proto.InstallSnapshot{Term: n.term, LastIndex: n.offeredSnapshot.Index, LastTerm: n.offeredSnapshot.Term, Round: n.leadership.round}
	m.Data, m.Offer = n.sender.Offer(n.now, n.offeredSnapshot.Data)
	return m
}

// isSendingOlder reports whether a transfer of an older snapshot has begun and
// the log holds all entries after that snapshot.
func (n *Node) isSendingOlder() bool {
	return n.offeredSnapshot.Index < n.snapshot.Index && n.offeredSnapshot.Index+1 >= n.log.firstIndex && n.sender.IsSending(n.now, n.offeredSnapshot.Data)
}

// isSnapshotDue reports whether the entries applied since the last snapshot reach
// the threshold in number or in bytes. The threshold in bytes grows with the
// snapshot, so that a large state is not written again with each change.
func (n *Node) isSnapshotDue() bool {
	return n.appliedIndex-n.snapshot.Index >= n.opts.snapshotThreshold ||
		n.appliedIndex > n.snapshot.Index && n.log.size(n.snapshot.Index+1, n.appliedIndex) >= n.snapshotBytes()
}

// snapshotBytes returns the estimated length of applied entries after which a
// snapshot is taken.
func (n *Node) snapshotBytes() int { return max(n.opts.snapshotBytes, len(n.snapshot.Data)) }

// firstKeptIndex returns the index from which on the log is kept after a snapshot.
// While an older snapshot is being sent, the entries after that one stay, so that
// its receiver needs no second snapshot. They stay for at most two snapshot
// thresholds, because a receiver that never finishes must not hold the log forever.
func (n *Node) firstKeptIndex() uint64 {
	first := n.log.tailStart(n.snapshot.Index, maxLogTail, maxLogTailBytes)
	next := n.offeredSnapshot.Index + 1
	sending := n.offeredSnapshot.Data != nil && n.sender.IsSending(n.now, n.offeredSnapshot.Data)
	if !sending || next < n.log.firstIndex || n.appliedIndex >= next+2*n.opts.snapshotThreshold || n.log.size(next, n.appliedIndex) > 2*n.snapshotBytes() {
		return first
	}
	return min(first, next)
}

// receiveOffer starts or continues the transfer of a snapshot that is too long
// for one message.
func (n *Node) receiveOffer(from model.HostID, m proto.InstallSnapshot) {
	n.incomingOffers = slices.DeleteFunc(n.incomingOffers, func(o proto.InstallSnapshot) bool { return o.Offer.ID == m.Offer.ID })
	if len(n.incomingOffers) >= maxIncomingOffers {
		n.incomingOffers = slices.Delete(n.incomingOffers, 0, 1)
	}
	n.incomingOffers = append(n.incomingOffers, m)
	n.sendPartRequests(n.receiver.Offer(n.now, from, *m.Offer, m.LastIndex))
	n.replyAppend(from, false, n.commitIndex, m.Round)
}

// sendPartRequests sends the requests of the receiver for parts of a snapshot.
func (n *Node) sendPartRequests(asks []part.Request) {
	for _, a := range asks {
		n.send(a.To, a.Msg)
	}
}

// transferTick drops snapshots that no host requests any more, repeats a
// request for a part that was lost, and ends a transfer to this host that is no
// longer needed because the log has caught up.
func (n *Node) transferTick() {
	n.sender.Expire(n.now)
	if index, ok := n.receiver.RunningRank(); ok && n.hasState && index <= n.commitIndex {
		n.stopTransfer()
	}
	n.sendPartRequests(n.receiver.Tick(n.now))
}

// stopTransfer ends the transfer of a snapshot to this host and drops all
// offers.
func (n *Node) stopTransfer() {
	n.receiver.Stop()
	n.incomingOffers = nil
}

// onPart installs a snapshot once all its parts have arrived. The state in it
// was committed, so it may be installed in any term. Only the leader that
// offered it in the current term gets a reply; any other leader learns of it
// from the next reply to an Append.
func (n *Node) onPart(from model.HostID, m proto.Part) {
	asks, data := n.receiver.Part(n.now, from, m)
	n.sendPartRequests(asks)
	if data == nil {
		return
	}
	i := slices.IndexFunc(n.incomingOffers, func(o proto.InstallSnapshot) bool { return o.Offer.ID == m.Snapshot })
	if i < 0 {
		return
	}
	offer := n.incomingOffers[i]
	n.stopTransfer()
	if term, ok := n.log.term(offer.LastIndex); n.hasState && (offer.LastIndex <= n.commitIndex || ok && term == offer.LastTerm) {
		return
	}
	if err := n.replaceLog(Snapshot{Index: offer.LastIndex, Term: offer.LastTerm, Data: data}); err != nil {
		return
	}
	if n.term == offer.Term && n.leader != "" {
		n.replyAppend(n.leader, true, offer.LastIndex, offer.Round)
	}
}
