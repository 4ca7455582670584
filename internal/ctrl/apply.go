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

// takeSnapshot encodes the applied state and drops the log before it.
func (n *Node) takeSnapshot() {
	data, err := codec.EncodeControl(codec.ControlState{
		Config:   n.state.cfg,
		OldSeats: n.state.oldSeats,
		History:  n.history.outcomes,
	})
	if err != nil {
		// The log is kept and the next applied entry tries again.
		return
	}
	term, _ := n.log.term(n.applied)
	n.snapshot = Snapshot{Index: n.applied, Term: term, Data: data}
	n.disk.snapshot = true
	n.log.compact(n.keepLogFrom(), logTail)
}
