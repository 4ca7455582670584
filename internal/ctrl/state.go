package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxHistory bounds the results by change id, the audit list and the retained
// changes, which are one list in the order of the log. At 5,500 changes a day
// it covers 8 hours. A resend after that is refused as a conflict, since the
// version moved on from its base, so that it is never applied twice.
const maxHistory = 2048

// keptContents is how many outcomes back the parts of configurations that
// changed are kept for hosts that are behind.
const keptContents = 32

// maxChangeBytes is the estimated length of changes above which a host gets a snapshot.
const maxChangeBytes = 2 << 20

// state is what the log determines, without the history. It is immutable.
type state struct {
	cfg model.Config
	// oldSeats are the seats before a SetSeats until an entry marks the new ones as in force.
	oldSeats []model.HostID
}

// next returns the state after an entry, and the result if it holds a proposal.
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
		result.Kind, result.Version, result.Message = refusal(err), s.cfg.Version, err.Error()
		return s, result
	}
	if !slices.Equal(cfg.Seats, s.cfg.Seats) {
		s.oldSeats = s.cfg.Seats
	}
	s.cfg = cfg
	return s, result
}

// apply refuses a second change of seats until the first is in force: with
// three sets at once, a host that was in the first only would have to be asked
// without bound.
func (s state) apply(v model.Version, p model.Proposal) (model.Config, error) {
	if _, ok := p.Change.(model.SetSeats); ok && len(s.oldSeats) > 0 && p.Base == s.cfg.Version {
		return s.cfg, model.ErrInvalid{Field: "seats", Got: "still changing", Want: "in force before they change again; wait and submit the change under a new id"}
	}
	return s.cfg.Apply(v, p)
}

func refusal(err error) model.ResultKind {
	switch {
	case model.IsErrConflict(err):
		return model.ResultConflict
	case model.IsErrSuperseded(err):
		return model.ResultSuperseded
	default:
		return model.ResultInvalid
	}
}

// seatSets returns the sets of seats that must each hold a version by majority.
func (s state) seatSets() [][]model.HostID {
	var sets [][]model.HostID
	for _, set := range [][]model.HostID{s.oldSeats, s.cfg.Seats} {
		if len(set) > 0 {
			sets = append(sets, set)
		}
	}
	return sets
}

// history is the bounded list of outcomes in the order of the log.
type history struct {
	outcomes []codec.Outcome
	results  map[model.ChangeID]model.Result
}

func newHistory(outcomes []codec.Outcome) history {
	h := history{results: map[model.ChangeID]model.Result{}}
	for _, o := range outcomes {
		h.add(o)
	}
	return h
}

func (h *history) add(o codec.Outcome) {
	if _, ok := h.results[o.Result.ID]; !ok {
		h.results[o.Result.ID] = o.Result
	}
	h.outcomes = append(h.outcomes, o)
	h.trim()
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

// trim drops what the whole configuration that is keptContents places before the
// newest outcome changed. Its result stays; hosts that need it get a snapshot.
func (h *history) trim() {
	at := len(h.outcomes) - 1 - keptContents
	if at < 0 {
		return
	}
	switch h.outcomes[at].Committed.Proposal.Change.(type) {
	case model.EditContent, model.ReplaceContent:
		h.outcomes[at].Committed.Proposal.Change = nil
	}
}

// changes returns the accepted changes after a version, and false if some are
// no longer held or they are longer than a message should be.
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

func (h *history) newest(n int) []AuditEntry {
	n = max(0, min(n, len(h.outcomes)))
	list := make([]AuditEntry, 0, n)
	for i := range n {
		o := h.outcomes[len(h.outcomes)-1-i]
		list = append(list, AuditEntry{Committed: o.Committed, Result: o.Result})
	}
	return list
}
