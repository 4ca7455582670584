package node

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// diskLog is the replicated log as it stands on this host's disk. It turns
// Persist effects into store calls and store contents into ctrl.Recovered.
type diskLog struct {
	term     model.Term
	votedFor model.HostID
	snapshot *ctrl.Snapshot
	// entries follow the snapshot without a gap.
	entries []proto.LogEntry
}

// wireLog is the stored form of a Persist effect, and of the whole log in a store snapshot.
type wireLog struct {
	_            struct{} `cbor:",toarray"`
	Term         uint64
	VotedFor     string
	TruncateFrom uint64
	Entries      [][]byte
	HasSnapshot  bool
	Index        uint64
	IndexTerm    uint64
	Data         []byte
}

// recoverLog rebuilds the log from what the store found.
func recoverLog(contents store.Contents) (*diskLog, error) {
	d := &diskLog{}
	if contents.Snapshot != nil {
		if err := d.load(contents.Snapshot); err != nil {
			return nil, eris.Wrap(err, "read the snapshot of the configuration log")
		}
	}
	for i, rec := range contents.Records {
		if err := d.load(rec); err != nil {
			return nil, eris.Wrapf(err, "read record %d of the configuration log", i)
		}
	}
	return d, nil
}

// recovered returns the log as the consensus core takes it.
func (d *diskLog) recovered(empty bool) ctrl.Recovered {
	return ctrl.Recovered{Term: d.term, VotedFor: d.votedFor, Snapshot: d.snapshot, Entries: d.entries, Empty: empty}
}

func (d *diskLog) load(data []byte) error {
	var w wireLog
	if err := cbor.Unmarshal(data, &w); err != nil {
		return eris.Wrap(err, "decode a stored log record")
	}
	p := ctrl.Persist{Term: model.Term(w.Term), VotedFor: model.HostID(w.VotedFor), TruncateFrom: w.TruncateFrom}
	for _, raw := range w.Entries {
		e, err := codec.DecodeEntry(raw)
		if err != nil {
			return err
		}
		p.Entries = append(p.Entries, e)
	}
	if w.HasSnapshot {
		p.Snapshot = &ctrl.Snapshot{Index: w.Index, Term: model.Term(w.IndexTerm), Data: w.Data}
	}
	d.apply(p)
	return nil
}

// apply changes the log in memory as a Persist effect demands.
func (d *diskLog) apply(p ctrl.Persist) {
	d.term, d.votedFor = p.Term, p.VotedFor
	if p.Snapshot != nil {
		d.snapshot = p.Snapshot
		d.entries = entriesAfter(d.entries, p.Snapshot.Index)
	}
	if p.TruncateFrom > 0 {
		d.entries = entriesBefore(d.entries, p.TruncateFrom)
	}
	d.entries = append(d.entries, p.Entries...)
}

func entriesAfter(entries []proto.LogEntry, index uint64) []proto.LogEntry {
	var out []proto.LogEntry
	for _, e := range entries {
		if e.Index > index {
			out = append(out, e)
		}
	}
	return out
}

func entriesBefore(entries []proto.LogEntry, index uint64) []proto.LogEntry {
	for i, e := range entries {
		if e.Index >= index {
			return entries[:i:i]
		}
	}
	return entries
}

// persist carries out a batch of effects with as few syncs as possible.
func (d *diskLog) persist(s store.Store, batch []ctrl.Persist) error {
	var records [][]byte
	for _, p := range batch {
		d.apply(p)
		if p.Snapshot == nil {
			rec, err := encodePersist(p)
			if err != nil {
				return err
			}
			records = append(records, rec)
			continue
		}
		// The snapshot replaces every record so far, so those before it in the batch are part of it.
		records = nil
		if err := d.writeSnapshot(s); err != nil {
			return err
		}
	}
	if len(records) == 0 {
		return nil
	}
	return eris.Wrap(s.Append(records...), "append to the configuration log")
}

func (d *diskLog) writeSnapshot(s store.Store) error {
	whole := ctrl.Persist{Term: d.term, VotedFor: d.votedFor, Entries: d.entries, Snapshot: d.snapshot}
	data, err := encodePersist(whole)
	if err != nil {
		return err
	}
	return eris.Wrap(s.Snapshot(data), "write a snapshot of the configuration log")
}

func encodePersist(p ctrl.Persist) ([]byte, error) {
	w := wireLog{Term: uint64(p.Term), VotedFor: string(p.VotedFor), TruncateFrom: p.TruncateFrom}
	for _, e := range p.Entries {
		raw, err := codec.EncodeEntry(e)
		if err != nil {
			return nil, err
		}
		w.Entries = append(w.Entries, raw)
	}
	if p.Snapshot != nil {
		w.HasSnapshot = true
		w.Index, w.IndexTerm, w.Data = p.Snapshot.Index, uint64(p.Snapshot.Term), p.Snapshot.Data
	}
	data, err := cbor.Marshal(w)
	return data, eris.Wrap(err, "encode a log record")
}
