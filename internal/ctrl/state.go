package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxHistory is the number of outcomes in the history, which holds the results
// by change id, the audit list and the changes for hosts that are behind. At
// 5,500 changes a day it covers 8 hours. A change that is resent later is
// refused as a conflict, since the version has moved on from its base; so no
// change is applied twice.
const maxHistory = 2048

// maxContentChanges is the number of newest outcomes whose changes of the
// configuration's content are kept for hosts that are behind.
const maxContentChanges = 32

// maxChangeBytes is the estimated length of changes above which a host is sent
// a snapshot instead. Changes of the content that would exceed it are not kept.
const maxChangeBytes = 2 << 20

// state is the configuration after an entry of the log, with the seats that a
// change of seats replaces. A state is immutable.
type state struct {
	cfg model.Config
	// oldSeats holds the seats before a SetSeats, until an entry marks the new
	// ones as in force.
	oldSeats []model.HostID
}

// next returns the state after an entry, and the result of its proposal if it
// has one.
func (s state) next(e proto.LogEntry) (state, model.Result) {
	if e.Proposal == nil {
		if e.SeatsInForce {
			s.oldSeats = nil
		}
		return s, model.Result{}
	}
	p := *e.Proposal
	result := model.Result{ID: p.ID, Kind: model.ResultAccepted, Version: model.Version(e.Index)}
	cfg, err := s.apply(model.Version(e.Index), p)
	if err != nil {
		result.Kind, result.Version, result.Message = resultKind(err), s.cfg.Version, err.Error()
		return s, result
	}
	if !slices.Equal(cfg.Seats, s.cfg.Seats) {
		s.oldSeats = s.cfg.Seats
	}
	s.cfg = cfg
	return s, result
}

// apply returns the configuration after a change. It refuses a second change of
// seats until the first is in force: with three sets at once, a host that was
// only in the first would have to be asked for an unlimited time.
func (s state) apply(v model.Version, p model.Proposal) (model.Config, error) {
	if _, ok := p.Change.(model.SetSeats); ok && len(s.oldSeats) > 0 && p.Base == s.cfg.Version {
		return s.cfg, model.ErrInvalid{Field: "seats", Got: "still changing", Want: "in force before they change again; wait and submit the change under a new id"}
	}
	return s.cfg.Apply(v, p)
}

// resultKind returns the kind of result for an error of a change.
func resultKind(err error) model.ResultKind {
	switch {
	case model.IsErrConflict(err):
		return model.ResultConflict
	case model.IsErrSuperseded(err):
		return model.ResultSuperseded
	default:
		return model.ResultInvalid
	}
}

// seatSets returns the sets of seats of which each must hold a version by
// majority: those in force, and during a change of seats also the new ones.
func (s state) seatSets() [][]model.HostID {
	var sets [][]model.HostID
	for _, set := range [][]model.HostID{s.oldSeats, s.cfg.Seats} {
		if len(set) > 0 {
			sets = append(sets, set)
		}
	}
	return sets
}

// history holds the outcomes of the newest changes in the order of the log, and
// their results by change id. Apart from changes of the content, which dropOldContent
// bounds in bytes, an outcome holds names and a reason, which are bounded each.
type history struct {
	outcomes []codec.Outcome
	results  map[model.ChangeID]model.Result
}

// newHistory returns a history of outcomes that a snapshot holds.
func newHistory(outcomes []codec.Outcome) history {
	h := history{results: map[model.ChangeID]model.Result{}}
	for _, o := range outcomes {
		h.add(o)
	}
	return h
}

// add appends an outcome, and drops the oldest one beyond maxHistory. The first
// result of a change id is kept.
func (h *history) add(o codec.Outcome) {
	if _, ok := h.results[o.Result.ID]; !ok {
		h.results[o.Result.ID] = o.Result
	}
	h.outcomes = append(h.outcomes, o)
	h.dropOldContent()
	if len(h.outcomes) <= maxHistory {
		return
	}
	oldest := h.outcomes[0].Result
	if h.results[oldest.ID] == oldest {
		delete(h.results, oldest.ID)
	}
	// append moves the list to a new array from time to time, which frees the dropped head.
	h.outcomes = h.outcomes[1:]
}

// dropOldContent drops the changes of the configuration's content that are older
// than maxContentChanges, or that exceed maxChangeBytes together with the newer
// ones. Their results stay; a host that needs such a change is sent a snapshot.
func (h *history) dropOldContent() {
	size := 0
	for at := len(h.outcomes) - 1; at >= max(0, len(h.outcomes)-1-maxContentChanges); at-- {
		size += h.outcomes[at].Committed.EstimatedSize()
		if at > len(h.outcomes)-1-maxContentChanges && size <= maxChangeBytes {
			continue
		}
		switch h.outcomes[at].Committed.Proposal.Change.(type) {
		case model.EditContent, model.ReplaceContent:
			h.outcomes[at].Committed.Proposal.Change = nil
		}
	}
}

// changes returns the accepted changes after a version up to the newest one. It
// returns false if some are no longer held or if they are together longer than
// maxChangeBytes.
func (h *history) changes(after, newest model.Version) ([]model.Committed, bool) {
	if after == newest {
		return nil, true
	}
	var changes []model.Committed
	size := 0
	for i := len(h.outcomes) - 1; i >= 0; i-- {
		o := h.outcomes[i]
		if o.Result.Kind != model.ResultAccepted {
			continue
		}
		if o.Committed.Version <= after {
			break
		}
		if o.Committed.Proposal.Change == nil {
			return nil, false
		}
		if size += o.Committed.EstimatedSize(); size > maxChangeBytes {
			return nil, false
		}
		changes = append(changes, o.Committed)
	}
	slices.Reverse(changes)
	if len(changes) == 0 || changes[0].Proposal.Base != after {
		return nil, false
	}
	return changes, true
}

// newest returns the newest n outcomes, newest first.
func (h *history) newest(n int) []AuditEntry {
	n = max(0, min(n, len(h.outcomes)))
	list := make([]AuditEntry, 0, n)
	for i := range n {
		o := h.outcomes[len(h.outcomes)-1-i]
		list = append(list, AuditEntry{Committed: o.Committed, Result: o.Result})
	}
	return list
}
