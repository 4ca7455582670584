package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// logTail is how many entries before a snapshot stay in memory for followers
// that are a little behind; 128 entries cover a second of a busy operator's script.
const logTail = 128

func (n *Node) applyEntry(e proto.LogEntry) {
	var result model.Result
	before := n.state.cfg
	n.state, result = n.state.next(e)
	if e.Proposal == nil {
		return
	}
	p := *e.Proposal
	p.Change = recorded(before, n.state.cfg, p.Change)
	n.history.add(codec.Outcome{
		Committed: model.Committed{Version: model.Version(e.Index), Proposal: p},
		Result:    result,
	})
}

// recorded returns what the history keeps of a change: of a whole configuration
// the difference, which hosts that are behind are told, or its revision if it
// was refused.
func recorded(before, after model.Config, ch model.Change) model.Change {
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
