package ctrl

import (
	"fmt"
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxProposalBytes bounds the length of an encoded change. A whole
	// configuration with 10,000 routes and its document has about 3 MB.
	maxProposalBytes = 4 << 20
	// maxUncommittedEntries and maxUncommittedBytes bound the entries of a leader's
	// log that are not committed yet. A change is refused once one of them is
	// reached.
	maxUncommittedEntries = 256
	maxUncommittedBytes   = 8 << 20
	// maxLogFactor multiplies the length of applied entries at which a snapshot is
	// taken. A leader whose log after the snapshot reaches the product takes no
	// change until the next snapshot is encoded.
	maxLogFactor = 3
	// maxDeferredProposals bounds the changes of the control hosts that are
	// deferred.
	maxDeferredProposals = 16
	// maxPendingProposals bounds each list of other proposals that one host has
	// not answered yet, and maxForwardedBytes the estimated length of those that it
	// keeps to send them to the leader again.
	maxPendingProposals = 1024
	maxForwardedBytes   = 8 << 20
)

// origin is where a proposal came from: the runtime of this host if host is
// empty, otherwise another control host.
type origin struct {
	host  model.HostID
	nonce uint64
}

// appendedProposal is a proposal in this leader's log whose author has no
// answer yet.
type appendedProposal struct {
	changeID model.ChangeID
	origin   origin
	deadline model.Instant
}

// deferredProposal is a change of the control hosts that must wait before it is
// appended to the log.
type deferredProposal struct {
	proposal model.Proposal
	origin   origin
	deadline model.Instant
	// confirmRound is a heartbeat round that began once nothing else held the
	// change back, or 0. The new control hosts confirm by answering it that
	// their disks are intact.
	confirmRound    uint64
	confirmDeadline model.Instant
}

// forwardedProposal is a proposal from this host's runtime that was sent to the
// leader.
type forwardedProposal struct {
	nonce    uint64
	proposal model.Proposal
	deadline model.Instant
	resendAt model.Instant
}

// pendingProposals holds the proposals that this host has not answered yet.
type pendingProposals struct {
	appended  []appendedProposal
	deferred  []deferredProposal
	forwarded []forwardedProposal
}

// forwardedBytes returns the estimated length of the forwarded proposals.
func (p *pendingProposals) forwardedBytes() int {
	size := 0
	for _, f := range p.forwarded {
		size += f.proposal.EstimatedSize()
	}
	return size
}

// propose handles a proposal. A leader appends it; any other host forwards it
// to the leader, unless another host has forwarded it already.
func (n *Node) propose(from origin, p model.Proposal) {
	switch {
	case n.role == RoleLeader:
		n.appendProposal(from, p, false)
	case from.host == "" && n.leader != "":
		n.forwardProposal(from.nonce, p)
	default:
		n.answer(from, n.notLeaderResult(p.ID))
	}
}

// notLeaderResult returns the answer of a host that cannot take a change, with
// the host to ask instead if it is known.
func (n *Node) notLeaderResult(id model.ChangeID) model.Result {
	r := model.Result{ID: id, Kind: model.ResultNotLeader, Leader: n.leader}
	switch {
	case n.role == RoleFailed:
		r.Message = "the disk of this control host failed; submit the change to another control host"
	case n.leader != "":
		r.Message = fmt.Sprintf("control host %q leads; submit the change there with the same id", n.leader)
	default:
		r.Message = "no control host leads now; submit the change again with the same id in a few seconds"
	}
	return r
}

// unknownResult returns the answer for a change that may or may not be accepted
// later.
func unknownResult(id model.ChangeID) model.Result {
	return model.Result{ID: id, Kind: model.ResultUnknown, Message: "the change may or may not be accepted later; submit it again with the same id to learn its result"}
}

// invalidResult returns the answer for a change that was refused before it got
// into the log.
func invalidResult(id model.ChangeID, newest model.Version, message string) model.Result {
	return model.Result{ID: id, Kind: model.ResultInvalid, Version: newest, Message: message}
}

// appendProposal appends a proposal unless the history or the log has its id
// already. A change of the control hosts is deferred until a majority of the
// new ones has confirmed that their disks are intact; confirmed is set once
// they have.
func (n *Node) appendProposal(from origin, p model.Proposal, confirmed bool) {
	switch p.Change.(type) {
	case model.ReplaceContent, model.EvacuateZone, model.ReturnZone:
		// Whole configurations are ordered by their revision, evacuations by the log, so
		// the base version must not cause a conflict.
		p.Base = n.latest.cfg.Version
	}
	if message := validateProposal(p); message != "" {
		n.answer(from, invalidResult(p.ID, n.state.cfg.Version, message))
		return
	}
	_, decided := n.history.results[p.ID]
	switch {
	case decided || n.isUnapplied(p.ID):
	case len(n.pending.appended) >= maxPendingProposals || n.hasFullLog():
		n.answer(from, busyResult(p.ID))
		return
	case n.mustDefer(p) || !confirmed && n.changesControls(p):
		n.deferProposal(deferredProposal{proposal: p, origin: from, deadline: n.now.Add(n.opts.timing.ProposeTimeout)})
		return
	default:
		n.appendEntry(proto.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Proposal: &p})
		n.updatePeers()
		n.replicateAll()
	}
	n.awaitResult(p.ID, from)
	n.answerFinalResults()
}

// hasFullLog reports whether too much of the log is not committed yet, or not in a
// snapshot because the runtime is still encoding it, to append another change.
func (n *Node) hasFullLog() bool {
	last := n.log.lastIndex()
	return last-n.commitIndex >= maxUncommittedEntries ||
		n.log.size(n.commitIndex+1, last) >= maxUncommittedBytes ||
		n.log.size(n.snapshot.Index+1, last) >= maxLogFactor*n.snapshotBytes()
}

// busyResult returns the answer for a change that was not taken because too
// many others wait.
func busyResult(id model.ChangeID) model.Result {
	return model.Result{ID: id, Kind: model.ResultNotLeader, Message: "too many changes wait; this one was not taken, submit it again with the same id in a few seconds"}
}

// validateProposal returns why a change must be refused, or an empty string.
func validateProposal(p model.Proposal) string {
	if p.ID == "" {
		return "the change has no id; submit it with an id that is kept over resends"
	}
	data, err := codec.EncodeProposal(p)
	if err != nil {
		return err.Error()
	}
	if len(data) > maxProposalBytes {
		return fmt.Sprintf("the change has %d bytes; it must have at most %d, shorten its reason or lists", len(data), maxProposalBytes)
	}
	return ""
}

// isUnapplied reports whether the log holds a change that is not applied yet.
func (n *Node) isUnapplied(id model.ChangeID) bool {
	for i := n.appliedIndex + 1; i <= n.log.lastIndex(); i++ {
		if p := n.log.entry(i).Proposal; p != nil && p.ID == id {
			return true
		}
	}
	return false
}

// mustDefer reports whether a change of the control hosts has to wait. An entry
// of this term and all earlier changes of the control hosts must be committed
// first: two overlapping changes could each find a majority that has no host in
// common with the other's. An added host must hold the log and count as a voter
// first; otherwise the fleet could stop if it lost a disk in the meantime.
func (n *Node) mustDefer(p model.Proposal) bool {
	change, ok := p.Change.(model.SetControls)
	if !ok || p.Base != n.latest.cfg.Version {
		return false
	}
	if n.commitIndex < n.leadership.firstIndex || !slices.Equal(n.latest.cfg.Controls, n.state.cfg.Controls) {
		return true
	}
	for _, id := range change.Controls {
		if slices.Contains(n.latest.cfg.Controls, id) {
			continue
		}
		if p := n.leadership.peer(id); p == nil || p.learnerID != 0 || p.matchIndex < n.leadership.firstIndex {
			return true
		}
	}
	return false
}

// deferProposal keeps a change of the control hosts for retryDeferred. The
// hosts that it adds become peers at once.
func (n *Node) deferProposal(d deferredProposal) {
	if len(n.pending.deferred) >= maxDeferredProposals {
		n.answer(d.origin, busyResult(d.proposal.ID))
		return
	}
	n.pending.deferred = append(n.pending.deferred, d)
	n.updatePeers()
	n.retryDeferred()
}

// changesControls reports whether a proposal replaces the control hosts and is
// based on the latest version.
func (n *Node) changesControls(p model.Proposal) bool {
	_, ok := p.Change.(model.SetControls)
	return ok && p.Base == n.latest.cfg.Version
}

// joiningHosts returns the hosts that deferred changes add, along with the
// control hosts that these changes keep. Added hosts receive the log but count
// in no majority.
func (n *Node) joiningHosts() []model.HostID {
	var ids []model.HostID
	for _, d := range n.pending.deferred {
		change, ok := d.proposal.Change.(model.SetControls)
		if ok && len(change.Controls) <= len(n.latest.cfg.Controls)+1 && d.proposal.Base == n.latest.cfg.Version {
			ids = append(ids, change.Controls...)
		}
	}
	return ids
}

// isConfirmedByMajority reports whether a majority of the new control hosts
// answered the confirmRound of a deferred change as voters, so that they can
// commit their own entry. An earlier answer is no proof: if a host has lost its
// disk since then, the new hosts may have no majority, and the fleet waits for
// an operator.
func (n *Node) isConfirmedByMajority(d deferredProposal) bool {
	change, ok := d.proposal.Change.(model.SetControls)
	if !ok {
		return true
	}
	intact := 0
	for _, id := range change.Controls {
		p := n.leadership.peer(id)
		if id == n.self || p != nil && p.learnerID == 0 && p.ackedRound >= d.confirmRound {
			intact++
		}
	}
	return intact >= model.Majority(len(change.Controls))
}

// retryDeferred appends the deferred changes that are ready, and refuses those
// that waited too long.
func (n *Node) retryDeferred() {
	list := n.pending.deferred
	n.pending.deferred = nil
	startRound := false
	for _, d := range list {
		switch {
		case n.mustDefer(d.proposal) && n.now >= d.deadline:
			n.answer(d.origin, invalidResult(d.proposal.ID, n.state.cfg.Version, "the added control host did not copy the log in time; start it with an empty data folder, then submit the change again"))
		case n.mustDefer(d.proposal):
			d.confirmRound = 0
			n.pending.deferred = append(n.pending.deferred, d)
		case !n.changesControls(d.proposal) || d.confirmRound != 0 && n.isConfirmedByMajority(d):
			n.appendProposal(d.origin, d.proposal, true)
		case d.confirmRound == 0:
			startRound = true
			d.confirmRound, d.confirmDeadline = n.leadership.round+1, n.now.Add(n.opts.timing.ElectionMin)
			n.pending.deferred = append(n.pending.deferred, d)
		case n.now >= d.confirmDeadline:
			n.answer(d.origin, invalidResult(d.proposal.ID, n.state.cfg.Version, "too few of the new control hosts are in reach with an intact disk to make a majority; bring hosts back or remove lost ones first, then submit the change again"))
		default:
			n.pending.deferred = append(n.pending.deferred, d)
		}
	}
	if len(list) > 0 {
		n.updatePeers()
	}
	if startRound {
		n.sendHeartbeats()
	}
}

// awaitResult records that an answer is due for a change in the log. A resend
// from the same origin extends the deadline.
func (n *Node) awaitResult(id model.ChangeID, from origin) {
	deadline := n.now.Add(n.opts.timing.ProposeTimeout)
	for i, a := range n.pending.appended {
		if a.origin == from && a.changeID == id {
			n.pending.appended[i].deadline = deadline
			return
		}
	}
	n.pending.appended = append(n.pending.appended, appendedProposal{changeID: id, origin: from, deadline: deadline})
}

// answerFinalResults answers the proposals whose result is final: a refusal
// once it is committed, an acceptance once a majority of the seats holds its
// version too.
func (n *Node) answerFinalResults() {
	n.pending.appended = slices.DeleteFunc(n.pending.appended, func(a appendedProposal) bool {
		result, ok := n.history.results[a.changeID]
		if !ok || needsAcceptance(result.Kind) && result.Version > n.acceptedVersion {
			return false
		}
		n.answer(a.origin, result)
		return true
	})
}

// needsAcceptance reports whether a result is given only once its version is
// accepted by the seats.
func needsAcceptance(kind model.ResultKind) bool {
	return kind == model.ResultAccepted || kind == model.ResultSuperseded
}

// answer sends a result to where the proposal came from.
func (n *Node) answer(to origin, r model.Result) {
	if to.host == "" {
		n.emit(Reply{Nonce: to.nonce, Result: r})
		return
	}
	n.send(to.host, proto.ProposeReply{Nonce: to.nonce, Result: r})
}

// abortPending answers the proposals of a leadership that has ended with
// ResultUnknown.
func (n *Node) abortPending() {
	for _, a := range n.pending.appended {
		n.answer(a.origin, unknownResult(a.changeID))
	}
	for _, d := range n.pending.deferred {
		n.answer(d.origin, unknownResult(d.proposal.ID))
	}
	n.pending.appended, n.pending.deferred = nil, nil
}

// expirePending answers proposals that waited too long with ResultUnknown, and
// sends forwarded ones again in case they were lost.
func (n *Node) expirePending() {
	n.pending.appended = slices.DeleteFunc(n.pending.appended, func(a appendedProposal) bool {
		if n.now < a.deadline {
			return false
		}
		n.answer(a.origin, unknownResult(a.changeID))
		return true
	})
	n.pending.forwarded = slices.DeleteFunc(n.pending.forwarded, func(f forwardedProposal) bool {
		if n.now < f.deadline {
			return false
		}
		n.answer(origin{nonce: f.nonce}, unknownResult(f.proposal.ID))
		return true
	})
	for i := range n.pending.forwarded {
		if n.now >= n.pending.forwarded[i].resendAt {
			n.sendForward(&n.pending.forwarded[i])
		}
	}
}

// forwardProposal sends a proposal of this host's runtime to the leader.
func (n *Node) forwardProposal(nonce uint64, p model.Proposal) {
	if len(n.pending.forwarded) >= maxPendingProposals || n.pending.forwardedBytes() >= maxForwardedBytes {
		n.answer(origin{nonce: nonce}, busyResult(p.ID))
		return
	}
	f := forwardedProposal{nonce: nonce, proposal: p, deadline: n.now.Add(n.opts.timing.ProposeTimeout)}
	n.sendForward(&f)
	n.pending.forwarded = append(n.pending.forwarded, f)
}

// sendForward sends a forwarded proposal for the first time or again.
func (n *Node) sendForward(f *forwardedProposal) {
	f.resendAt = n.now.Add(n.opts.timing.ElectionMin)
	n.send(n.leader, proto.ProposeAsk{Nonce: f.nonce, Proposal: f.proposal})
}

// abortForwarded answers the proposals that were forwarded to a previous leader
// with ResultUnknown.
func (n *Node) abortForwarded() {
	for _, f := range n.pending.forwarded {
		n.answer(origin{nonce: f.nonce}, unknownResult(f.proposal.ID))
	}
	n.pending.forwarded = nil
}

// withdrawForwarded drops a forwarded proposal whose author waits no more.
func (n *Node) withdrawForwarded(nonce uint64) {
	n.pending.forwarded = slices.DeleteFunc(n.pending.forwarded, func(f forwardedProposal) bool { return f.nonce == nonce })
}

// onProposeReply passes on the leader's answer to a forwarded proposal.
func (n *Node) onProposeReply(m proto.ProposeReply) {
	n.pending.forwarded = slices.DeleteFunc(n.pending.forwarded, func(f forwardedProposal) bool {
		if f.nonce != m.Nonce || f.proposal.ID != m.Result.ID {
			return false
		}
		n.answer(origin{nonce: f.nonce}, m.Result)
		return true
	})
}
