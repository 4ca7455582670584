package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxLogTail and maxLogTailBytes bound the entries before a snapshot that stay
	// in memory, so that a follower that is a little behind needs no snapshot. 128
	// entries cover one second of a busy operator's script.
	maxLogTail      = 128
	maxLogTailBytes = 2 << 20
)

// applyEntry applies a committed entry to the state and adds its outcome to the
// history.
func (n *Node) applyEntry(e proto.LogEntry) {
	var result model.Result
	before := n.state.cfg
	n.state, result = n.state.next(e)
	if e.Proposal == nil {
		return
	}
	p := *e.Proposal
	p.Change = historyChange(before, n.state.cfg, p.Change)
	n.history.add(codec.Outcome{
		Committed: model.Committed{Version: model.Version(e.Index), Proposal: p},
		Result:    result,
	})
}

// historyChange returns what the history keeps of a change. Of a whole
// configuration it keeps the difference, which is sent to hosts that are
// behind, or only the revision if the change was refused.
func historyChange(before, after model.Config, ch model.Change) model.Change {
	whole, ok := ch.(model.ReplaceContent)
	switch {
	case !ok:
		return ch
	case after.Version == before.Version:
		return model.EditContent{Revision: whole.Revision}
	default:
		return model.EditBetween(before, after)
	}
}
