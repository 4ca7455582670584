package ctrl

import (
	"fmt"
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxProposal bounds an encoded change in bytes. A whole configuration with
	// 10,000 routes and its document has about 3 MB.
	maxProposal = 4 << 20
	// maxUncommitted bounds the entries that a leader appends ahead of the majority.
	maxUncommitted = 256
	// maxDeferred bounds the changes of control hosts that wait for a commit.
	maxDeferred = 16
	// maxWaits bounds the proposals that wait on one host.
	maxWaits = 1024
)

// origin is where a proposal came from: this host's runtime, or another control host.
type origin struct {
	host  model.HostID
	nonce uint64
}

// wait is a proposal in this leader's log that is not settled.
type wait struct {
	id   model.ChangeID
	from origin
	due  model.Instant
}

// deferred is a change of the control hosts that is not in the log yet.
type deferred struct {
	proposal model.Proposal
	from     origin
	due      model.Instant
	// round is a heartbeat round that began once nothing else held the change
	// back, or 0. The new control hosts confirm their disks by answering it.
	round     uint64
	confirmBy model.Instant
}

// forward is a local proposal that was sent to the leader.
type forward struct {
	nonce    uint64
	proposal model.Proposal
	due      model.Instant
	resendAt model.Instant
}

// waits holds the proposals that this host has not answered.
type waits struct {
	settling []wait
	deferred []deferred
	forwards []forward
}

func (n *Node) propose(from origin, p model.Proposal) {
	switch {
	case n.role == RoleLeader:
		n.appendProposal(from, p, false)
	case from.host == "" && n.leader != "":
		n.forward(from.nonce, p)
	default:
		n.answer(from, n.notLeader(p.ID))
	}
}

func (n *Node) notLeader(id model.ChangeID) model.Result {
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

func unknownResult(id model.ChangeID) model.Result {
	return model.Result{ID: id, Kind: model.ResultUnknown, Message: "the change may or may not be accepted later; submit it again with the same id to learn its result"}
}

func refused(id model.ChangeID, newest model.Version, message string) model.Result {
	return model.Result{ID: id, Kind: model.ResultInvalid, Version: newest, Message: message}
}

// appendProposal appends a proposal unless its id is known already. A change of
// the control hosts waits until a majority of the new ones has confirmed its disks.
func (n *Node) appendProposal(from origin, p model.Proposal, confirmed bool) {
	if _, ok := p.Change.(model.ReplaceContent); ok {
		// The order of revisions decides, so such a change is never based on a stale version.
		p.Base = n.tip.cfg.Version
	}
	if message := checkProposal(p); message != "" {
		n.answer(from, refused(p.ID, n.state.cfg.Version, message))
		return
	}
	_, decided := n.history.results[p.ID]
	switch {
	case decided || n.inFlight(p.ID):
	case len(n.waits.settling) >= maxWaits || n.log.last()-n.commit >= maxUncommitted:
		n.answer(from, refusedBusy(p.ID))
		return
	case n.mustDefer(p) || !confirmed && n.changesControls(p):
		n.deferProposal(deferred{proposal: p, from: from, due: n.now.Add(n.opt.timing.ProposeTimeout)})
		return
	default:
		n.appendEntry(proto.LogEntry{Index: n.log.last() + 1, Term: n.term, Proposal: &p})
		n.updatePeers()
		n.replicateAll()
	}
	n.await(p.ID, from)
	n.settle()
}

func refusedBusy(id model.ChangeID) model.Result {
	return model.Result{ID: id, Kind: model.ResultNotLeader, Message: "too many changes wait; this one was not taken, submit it again with the same id in a few seconds"}
}

func checkProposal(p model.Proposal) string {
	if p.ID == "" {
		return "the change has no id; submit it with an id that is kept over resends"
	}
	data, err := codec.EncodeProposal(p)
	if err != nil {
		return err.Error()
	}
	if len(data) > maxProposal {
		return fmt.Sprintf("the change has %d bytes; it must have at most %d, shorten its reason or lists", len(data), maxProposal)
	}
	return ""
}

// inFlight reports whether the log holds the change without a result yet.
func (n *Node) inFlight(id model.ChangeID) bool {
	for i := n.applied + 1; i <= n.log.last(); i++ {
		if p := n.log.at(i).Proposal; p != nil && p.ID == id {
			return true
		}
	}
	return false
}

// mustDefer holds back a change of the control hosts until an entry of this
// term and all earlier changes of the control hosts are committed: two
// overlapping changes could each find a majority that does not meet the
// other's. An added host first has to hold the log and count as a voter;
// otherwise the fleet could stop if it lost a disk in the meantime.
func (n *Node) mustDefer(p model.Proposal) bool {
	change, ok := p.Change.(model.SetControls)
	if !ok || p.Base != n.tip.cfg.Version {
		return false
	}
	if n.commit < n.lead.first || !slices.Equal(n.tip.cfg.Controls, n.state.cfg.Controls) {
		return true
	}
	for _, id := range change.Controls {
		if slices.Contains(n.tip.cfg.Controls, id) {
			continue
		}
		if p := n.lead.peer(id); p == nil || p.learner != 0 || p.match < n.lead.first {
			return true
		}
	}
	return false
}

func (n *Node) deferProposal(d deferred) {
	if len(n.waits.deferred) >= maxDeferred {
		n.answer(d.from, refusedBusy(d.proposal.ID))
		return
	}
	n.waits.deferred = append(n.waits.deferred, d)
	n.updatePeers()
	n.retryDeferred()
}

// changesControls reports whether a proposal will replace the control hosts.
func (n *Node) changesControls(p model.Proposal) bool {
	_, ok := p.Change.(model.SetControls)
	return ok && p.Base == n.tip.cfg.Version
}

// joining returns the hosts that deferred changes add. They receive the log
// but count in no majority.
func (n *Node) joining() []model.HostID {
	var ids []model.HostID
	for _, d := range n.waits.deferred {
		change, ok := d.proposal.Change.(model.SetControls)
		if ok && len(change.Controls) <= len(n.tip.cfg.Controls)+1 && d.proposal.Base == n.tip.cfg.Version {
			ids = append(ids, change.Controls...)
		}
	}
	return ids
}

// confirmed reports whether a majority of the new control hosts answered the
// round of a deferred change as voters, so that they can commit their own
// entry. An earlier answer is no proof: a host that lost its disk since then
// leaves the new hosts without a majority, and the fleet waits for an operator.
func (n *Node) confirmed(d deferred) bool {
	change, ok := d.proposal.Change.(model.SetControls)
	if !ok {
		return true
	}
	intact := 0
	for _, id := range change.Controls {
		p := n.lead.peer(id)
		if id == n.self || p != nil && p.learner == 0 && p.ackRound >= d.round {
			intact++
		}
	}
	return intact >= model.Majority(len(change.Controls))
}

// retryDeferred appends the deferred changes that are ready and refuses those that waited too long.
func (n *Node) retryDeferred() {
	list := n.waits.deferred
	n.waits.deferred = nil
	ask := false
	for _, d := range list {
		switch {
		case n.mustDefer(d.proposal) && n.now >= d.due:
			n.answer(d.from, refused(d.proposal.ID, n.state.cfg.Version, "the added control host did not copy the log in time; start it with an empty data folder, then submit the change again"))
		case n.mustDefer(d.proposal):
			d.round = 0
			n.waits.deferred = append(n.waits.deferred, d)
		case !n.changesControls(d.proposal) || d.round != 0 && n.confirmed(d):
			n.appendProposal(d.from, d.proposal, true)
		case d.round == 0:
			ask = true
			d.round, d.confirmBy = n.lead.round+1, n.now.Add(n.opt.timing.ElectionMin)
			n.waits.deferred = append(n.waits.deferred, d)
		case n.now >= d.confirmBy:
			n.answer(d.from, refused(d.proposal.ID, n.state.cfg.Version, "too few of the new control hosts are in reach with an intact disk to make a majority; bring hosts back or remove lost ones first, then submit the change again"))
		default:
			n.waits.deferred = append(n.waits.deferred, d)
		}
	}
	if len(list) > 0 {
		n.updatePeers()
	}
	if ask {
		n.heartbeat()
	}
}

func (n *Node) await(id model.ChangeID, from origin) {
	due := n.now.Add(n.opt.timing.ProposeTimeout)
	for i, w := range n.waits.settling {
		if w.from == from && w.id == id {
			n.waits.settling[i].due = due
			return
		}
	}
	n.waits.settling = append(n.waits.settling, wait{id: id, from: from, due: due})
}

// settle answers the proposals whose result is final: refused ones once they
// are committed, accepted ones once a majority of seats holds them too.
func (n *Node) settle() {
	n.waits.settling = slices.DeleteFunc(n.waits.settling, func(w wait) bool {
		result, ok := n.history.results[w.id]
		if !ok || mustBeHeld(result.Kind) && result.Version > n.accepted {
			return false
		}
		n.answer(w.from, result)
		return true
	})
}

// mustBeHeld reports whether a result is given only once the seats hold its version.
func mustBeHeld(kind model.ResultKind) bool {
	return kind == model.ResultAccepted || kind == model.ResultSuperseded
}

func (n *Node) answer(to origin, r model.Result) {
	if to.host == "" {
		n.emit(Reply{Nonce: to.nonce, Result: r})
		return
	}
	n.send(to.host, proto.ProposeReply{Nonce: to.nonce, Result: r})
}

// endWaits answers what waited for the leadership that just ended.
func (n *Node) endWaits() {
	for _, w := range n.waits.settling {
		n.answer(w.from, unknownResult(w.id))
	}
	for _, d := range n.waits.deferred {
		n.answer(d.from, unknownResult(d.proposal.ID))
	}
	n.waits.settling, n.waits.deferred = nil, nil
}

// expireWaits ends waits that took too long, and repeats lost forwards.
func (n *Node) expireWaits() {
	n.waits.settling = slices.DeleteFunc(n.waits.settling, func(w wait) bool {
		if n.now < w.due {
			return false
		}
		n.answer(w.from, unknownResult(w.id))
		return true
	})
	n.waits.forwards = slices.DeleteFunc(n.waits.forwards, func(f forward) bool {
		if n.now < f.due {
			return false
		}
		n.answer(origin{nonce: f.nonce}, unknownResult(f.proposal.ID))
		return true
	})
	for i := range n.waits.forwards {
		if n.now >= n.waits.forwards[i].resendAt {
			n.sendForward(&n.waits.forwards[i])
		}
	}
}

func (n *Node) forward(nonce uint64, p model.Proposal) {
	if len(n.waits.forwards) >= maxWaits {
		n.answer(origin{nonce: nonce}, refusedBusy(p.ID))
		return
	}
	f := forward{nonce: nonce, proposal: p, due: n.now.Add(n.opt.timing.ProposeTimeout)}
	n.sendForward(&f)
	n.waits.forwards = append(n.waits.forwards, f)
}

func (n *Node) sendForward(f *forward) {
	f.resendAt = n.now.Add(n.opt.timing.ElectionMin)
	n.send(n.leader, proto.ProposeAsk{Nonce: f.nonce, Proposal: f.proposal})
}

// endForwards answers the proposals sent to a leader that is no longer followed.
func (n *Node) endForwards() {
	for _, f := range n.waits.forwards {
		n.answer(origin{nonce: f.nonce}, unknownResult(f.proposal.ID))
	}
	n.waits.forwards = nil
}

func (n *Node) onProposeReply(m proto.ProposeReply) {
	n.waits.forwards = slices.DeleteFunc(n.waits.forwards, func(f forward) bool {
		if f.nonce != m.Nonce || f.proposal.ID != m.Result.ID {
			return false
		}
		n.answer(origin{nonce: f.nonce}, m.Result)
		return true
	})
}
