package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxInlineItems is the number of workspaces and keys up to which a state is
// encoded in a step; 2,000 take about 4 ms.
const maxInlineItems = 2000

// encodes holds what the runtime is encoding. A number of 0 means nothing.
type encodes struct {
	last uint64
	// state is the number of the snapshot being encoded, stateAt its place in the log.
	state   uint64
	stateAt Snapshot
	// config is the number of the configuration being encoded for seats.
	config        uint64
	configVersion model.Version
}

func (n *Node) isLarge() bool {
	return n.opt.partSize > 0 || n.state.cfg.Workspaces.Len()+n.state.cfg.Keys.Len() > maxInlineItems
}

func (n *Node) controlState() codec.ControlState {
	return codec.ControlState{Config: n.state.cfg, OldSeats: n.state.oldSeats, History: n.history.outcomes}
}

func (n *Node) encode(configOnly bool) uint64 {
	n.encodes.last++
	n.emit(Encode{ID: n.encodes.last, State: n.controlState(), ConfigOnly: configOnly})
	return n.encodes.last
}

// takeSnapshot encodes the applied state and drops the log before it. A large
// state is encoded by the runtime; the log is kept until then.
func (n *Node) takeSnapshot() {
	term, _ := n.log.term(n.applied)
	at := Snapshot{Index: n.applied, Term: term}
	if n.isLarge() {
		if n.encodes.state == 0 {
			n.encodes.state, n.encodes.stateAt = n.encode(false), at
		}
		return
	}
	data, err := codec.EncodeControlState(n.controlState())
	if err != nil {
		// The log is kept and the next applied entry tries again.
		return
	}
	at.Data = data
	n.useSnapshot(at)
}

func (n *Node) useSnapshot(s Snapshot) {
	n.snapshot = s
	n.disk.snapshot = true
	n.log.compact(n.keepLogFrom(), logTail)
}

// encoded takes what the runtime encoded. A snapshot that another one has
// overtaken, which a leader installed meanwhile, is dropped.
func (n *Node) encoded(ev Encoded) {
	switch ev.ID {
	case 0:
	case n.encodes.state:
		s := n.encodes.stateAt
		n.encodes.state = 0
		if ev.Data != nil && s.Index > n.snapshot.Index {
			s.Data = ev.Data
			n.useSnapshot(s)
		}
	case n.encodes.config:
		n.encodes.config = 0
		if n.lead != nil && ev.Data != nil {
			n.lead.stage.encoded, n.lead.stage.encodedVersion = ev.Data, n.encodes.configVersion
			n.stageTick()
		}
	}
}
