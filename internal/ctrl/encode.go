package ctrl

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxInlineItems is the number of workspaces, keys and routes up to which a state
// is encoded inside a step; 2,000 take about 4 ms.
const maxInlineItems = 2000

// encodeJobs tracks the Encode effects that the runtime has not answered yet.
// An ID of 0 means that there is none.
type encodeJobs struct {
	// lastID is the ID of the newest Encode effect.
	lastID uint64
	// snapshotID is the ID of the effect that encodes a snapshot. The snapshot
	// field holds its index and term.
	snapshotID uint64
	snapshot   Snapshot
	// configID is the ID of the effect that encodes the configuration with
	// configVersion for the seats.
	configID      uint64
	configVersion model.Version
}

// hasLargeState reports whether the runtime encodes the state, because that
// would take too long inside a step. With WithPartSize every state counts as
// large.
func (n *Node) hasLargeState() bool {
	return n.opts.partSize > 0 || n.state.cfg.Workspaces.Len()+n.state.cfg.Keys.Len()+n.state.cfg.Routes.Len() > maxInlineItems
}

// controlState returns the applied state and the history, as they are encoded.
func (n *Node) controlState() codec.ControlState {
	return codec.ControlState{Config: n.state.cfg, OldSeats: n.state.oldSeats, History: n.history.outcomes}
}

// requestEncode emits an Encode effect and returns its ID. The runtime reads the
// state while this host goes on changing its history, so it gets a copy.
func (n *Node) requestEncode(configOnly bool) uint64 {
	n.encodeJobs.lastID++
	state := n.controlState()
	state.History = slices.Clone(state.History)
	n.emit(Encode{ID: n.encodeJobs.lastID, State: state, ConfigOnly: configOnly})
	return n.encodeJobs.lastID
}

// takeSnapshot encodes the applied state and drops the log before it. A large
// state is encoded by the runtime, and the log is kept until the result
// arrives.
func (n *Node) takeSnapshot() {
	term, _ := n.log.term(n.appliedIndex)
	snapshot := Snapshot{Index: n.appliedIndex, Term: term}
	if n.hasLargeState() {
		if n.encodeJobs.snapshotID == 0 {
			n.encodeJobs.snapshotID, n.encodeJobs.snapshot = n.requestEncode(false), snapshot
		}
		return
	}
	data, err := codec.EncodeControlState(n.controlState())
	if err != nil {
		// The log is kept, and the next applied entry leads to another attempt.
		return
	}
	snapshot.Data = data
	n.adoptSnapshot(snapshot)
}

// adoptSnapshot replaces the snapshot that this host stores and compacts the
// log.
func (n *Node) adoptSnapshot(s Snapshot) {
	n.snapshot = s
	n.disk.writeSnapshot = true
	n.log.dropBefore(n.firstKeptIndex())
}

// onEncoded uses the result of an Encode effect. A snapshot is dropped if this
// host has installed a newer one from a leader since.
func (n *Node) onEncoded(ev Encoded) {
	switch ev.ID {
	case 0:
	case n.encodeJobs.snapshotID:
		s := n.encodeJobs.snapshot
		n.encodeJobs.snapshotID = 0
		if ev.Data != nil && s.Index > n.snapshot.Index {
			s.Data = ev.Data
			n.adoptSnapshot(s)
		}
	case n.encodeJobs.configID:
		n.encodeJobs.configID = 0
		if n.leadership != nil && ev.Data != nil {
			n.leadership.staging.encodedConfig, n.leadership.staging.encodedVersion = ev.Data, n.encodeJobs.configVersion
			n.stageTick()
		}
	}
}
