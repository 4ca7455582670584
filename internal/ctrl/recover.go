package ctrl

import (
	"tarragongauge.example/tarragongauge/internal/codec"
)

// EncodePersist returns the record that the store writes for a Persist effect.
// If snapshot is set, the record replaces the store's snapshot and all records;
// otherwise it is appended to them.
func EncodePersist(p Persist) (data []byte, snapshot bool, err error) {
	r := codec.LogRecord{
		Term:         p.Term,
		VotedFor:     p.VotedFor,
		TruncateFrom: p.TruncateFrom,
		Entries:      p.Entries,
		LearnerID:    p.LearnerID,
	}
	if p.Snapshot != nil {
		r.State, r.StateIndex, r.StateTerm = p.Snapshot.Data, p.Snapshot.Index, p.Snapshot.Term
	}
	data, err = codec.EncodeLogRecord(r)
	return data, p.Snapshot != nil, err
}

// Recover returns the state that results from the snapshot and the records of a
// store, in the order in which they were written. A store without either counts
// as empty.
func Recover(snapshot []byte, records [][]byte) (RecoveredState, error) {
	rec := RecoveredState{Empty: snapshot == nil && len(records) == 0}
	if snapshot != nil {
		if err := rec.applyRecord(snapshot); err != nil {
			return RecoveredState{}, err
		}
	}
	for _, data := range records {
		if err := rec.applyRecord(data); err != nil {
			return RecoveredState{}, err
		}
	}
	return rec, nil
}

// applyRecord changes the state by one record.
func (rec *RecoveredState) applyRecord(data []byte) error {
	r, err := codec.DecodeLogRecord(data)
	if err != nil {
		return err
	}
	rec.Term, rec.VotedFor, rec.LearnerID = r.Term, r.VotedFor, r.LearnerID
	if r.State != nil {
		rec.Snapshot = &Snapshot{Index: r.StateIndex, Term: r.StateTerm, Data: r.State}
		rec.Entries = nil
	}
	for i, e := range rec.Entries {
		if r.TruncateFrom != 0 && e.Index >= r.TruncateFrom {
			rec.Entries = rec.Entries[:i]
			break
		}
	}
	rec.Entries = append(rec.Entries, r.Entries...)
	return nil
}
