package node

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
)

// importBatch is how many records of an earlier format are written together.
const importBatch = 1000

// importLog moves the records of a journal from the format before segments, a
// log with snapshots, into segments. The state is written last: without it an
// interrupted import starts over, and its copies are superseded by the new ones.
func importLog(dir string, log logr.Logger) error {
	old, err := store.HoldsLog(dir)
	if err != nil || !old {
		return err
	}
	records, state, err := readLog(dir)
	if err != nil {
		return err
	}
	file, contents, closeFile, err := store.OpenSegments(dir, func(store.Position, []byte) error { return nil })
	if err != nil {
		return err
	}
	if contents.State == nil {
		err = writeImport(file, records, state)
	}
	if err := errors.Join(err, closeFile()); err != nil {
		return err
	}
	log.Info("the order journal was converted to segments", "records", len(records))
	return store.RemoveLog(dir)
}

// readLog returns the newest copy of each record, and the records without a workspace.
func readLog(dir string) ([]proto.JournalRecord, map[string]proto.JournalRecord, error) {
	_, contents, closeFile, err := store.Open(dir)
	if err != nil {
		return nil, nil, err
	}
	if err := closeFile(); err != nil {
		return nil, nil, err
	}
	var raw [][]byte
	if contents.Snapshot != nil {
		if err := cbor.Unmarshal(contents.Snapshot, &raw); err != nil {
			return nil, nil, eris.Wrap(err, "decode the snapshot of the order journal")
		}
	}
	oldest := time.Now().Add(-order.DefaultTiming().Retention).UnixMilli()
	var records []proto.JournalRecord
	state, place := map[string]proto.JournalRecord{}, map[order.Digest]int{}
	for _, data := range append(raw, contents.Records...) {
		rec, err := codec.DecodeJournalRecord(data)
		if err != nil {
			return nil, nil, eris.Wrap(err, "decode a record of the order journal")
		}
		key := order.DigestOf(rec.Workspace, rec.OrderKey)
		i, known := place[key]
		switch {
		case rec.Workspace == "":
			state[rec.OrderKey] = rec
		case known:
			records[i] = rec
		case rec.UnixMilli >= oldest:
			place[key] = len(records)
			records = append(records, rec)
		}
	}
	return records, state, nil
}

func writeImport(file *store.Segments, records []proto.JournalRecord, state map[string]proto.JournalRecord) error {
	for len(records) > 0 {
		n := min(importBatch, len(records))
		encoded := make([][]byte, 0, n)
		for _, rec := range records[:n] {
			data, err := encodeStored(rec)
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
		}
		if _, err := file.Append(segmentNow(), encoded); err != nil {
			return err
		}
		records = records[n:]
	}
	data, err := encodeState(state)
	if err != nil {
		return err
	}
	return file.SetState(data)
}
