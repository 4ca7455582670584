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
	n.state, result = n.state.next(e)
	if e.Proposal == nil {
		return
	}
	n.history.add(codec.Outcome{
		Committed: model.Committed{Version: model.Version(e.Index), Proposal: *e.Proposal},
		Result:    result,
	})
}
