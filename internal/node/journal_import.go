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

// importBatchSize is the number of converted records that are appended together.
const importBatchSize = 1000

// importLog converts a journal from the format before segments, a log with
// snapshots, into segments. The state is written last: without it an interrupted
// conversion starts again, and the new copies of its records supersede the
// earlier ones.
func importLog(dir string, log logr.Logger) error {
	isOldFormat, err := store.HoldsLog(dir)
	if err != nil || !isOldFormat {
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

// readLog returns the newest copy of each record that has not expired, and the
// records without a workspace by order key.
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
	state, indexes := map[string]proto.JournalRecord{}, map[order.Digest]int{}
	for _, data := range append(raw, contents.Records...) {
		rec, err := codec.DecodeJournalRecord(data)
		if err != nil {
			return nil, nil, eris.Wrap(err, "decode a record of the order journal")
		}
		key := order.DigestOf(rec.Workspace, rec.OrderKey)
		i, known := indexes[key]
		switch {
		case rec.Workspace == "":
			state[rec.OrderKey] = rec
		case known:
			records[i] = rec
		case rec.UnixMilli >= oldest:
			indexes[key] = len(records)
			records = append(records, rec)
		}
	}
	return records, state, nil
}

// writeImport writes records to the segments in batches of importBatchSize, and
// then the records without a workspace.
func writeImport(file *store.Segments, records []proto.JournalRecord, state map[string]proto.JournalRecord) error {
	for len(records) > 0 {
		n := min(importBatchSize, len(records))
		encoded := make([][]byte, 0, n)
		for _, rec := range records[:n] {
			data, err := encodeRecord(rec)
			if err != nil {
				return err
			}
			encoded = append(encoded, data)
		}
		if _, err := file.Append(currentSegment(), encoded); err != nil {
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
