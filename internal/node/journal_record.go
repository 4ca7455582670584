package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
)

// A stored record starts with a fixed header: format, state, time of creation,
// and digest of workspace and order key. The index is rebuilt from the headers
// alone.
const (
	recordFormat     = 1
	recordHeaderSize = 1 + 1 + 8 + len(order.Digest{})
)

// ErrJournalFormat reports that a record of the order journal has an unknown
// format.
type ErrJournalFormat struct{ Got byte }

func (e ErrJournalFormat) Error() string {
	return fmt.Sprintf("a record of the order journal has format %d but this version reads format %d; start the version of tarragongauge that wrote it, or move the journal's folder away and restart this host with [control] or [journal] create_fleet = false, so that it copies the records from the other journals", e.Got, recordFormat)
}

// IsErrJournalFormat reports whether err is or wraps an ErrJournalFormat.
func IsErrJournalFormat(err error) bool {
	var e ErrJournalFormat
	return errors.As(err, &e)
}

// encodeRecord encodes a record after a header of its format, state, time and
// digest, which addToIndex reads.
func encodeRecord(rec proto.JournalRecord) ([]byte, error) {
	body, err := codec.EncodeJournalRecord(rec)
	if err != nil {
		return nil, err
	}
	key := order.DigestOf(rec.Workspace, rec.OrderKey)
	out := make([]byte, 0, recordHeaderSize+len(body))
	out = append(out, recordFormat, byte(order.StateOf(rec)))
	out = binary.BigEndian.AppendUint64(out, uint64(rec.UnixMilli))
	out = append(out, key[:]...)
	return append(out, body...), nil
}

// checkRecordHeader returns ErrJournalFormat for a record of another format,
// and another error for an invalid header.
func checkRecordHeader(data []byte) error {
	if len(data) > 0 && data[0] != recordFormat {
		return ErrJournalFormat{Got: data[0]}
	}
	if len(data) < recordHeaderSize || data[1] > byte(order.RecordAnswered) {
		return eris.New("a record of the order journal has no valid header; move the journal's folder away and restart this host, so that it copies the records from the other journals")
	}
	return nil
}

func decodeRecord(data []byte) (proto.JournalRecord, error) {
	if err := checkRecordHeader(data); err != nil {
		return proto.JournalRecord{}, err
	}
	return codec.DecodeJournalRecord(data[recordHeaderSize:])
}

// addToIndex adds an encoded record to the index. It reads only the header of
// the record.
func addToIndex(index *order.Index, at order.Position, data []byte) error {
	if err := checkRecordHeader(data); err != nil {
		return err
	}
	if err := checkPosition(at); err != nil {
		return err
	}
	createdAt := int64(binary.BigEndian.Uint64(data[2:]))
	index.Add(order.Digest(data[recordHeaderSize-len(order.Digest{}):recordHeaderSize]), at, createdAt, order.RecordState(data[1]))
	return nil
}

// checkPosition returns an error if a record is too long, or too far from the
// start of its segment, for the index.
func checkPosition(at order.Position) error {
	if at.Fits() {
		return nil
	}
	return eris.Errorf("a record of %d bytes at byte %d of segment %d of the order journal is beyond the limits of the index; move the journal's folder away and restart this host, so that it copies the records from the other journals", at.Size, at.Offset, at.Segment)
}

// encodeState encodes the records without a workspace, after a byte for the
// format.
func encodeState(state map[string]proto.JournalRecord) ([]byte, error) {
	raw := make([][]byte, 0, len(state))
	for _, rec := range sortedState(state) {
		data, err := codec.EncodeJournalRecord(rec)
		if err != nil {
			return nil, err
		}
		raw = append(raw, data)
	}
	data, err := cbor.Marshal(raw)
	return append([]byte{recordFormat}, data...), eris.Wrap(err, "encode the state of the order journal")
}

// decodeState decodes the result of encodeState into a map by order key. Empty
// data is an empty state.
func decodeState(data []byte) (map[string]proto.JournalRecord, error) {
	state := map[string]proto.JournalRecord{}
	if len(data) == 0 {
		return state, nil
	}
	if data[0] != recordFormat {
		return nil, ErrJournalFormat{Got: data[0]}
	}
	var raw [][]byte
	if err := cbor.Unmarshal(data[1:], &raw); err != nil {
		return nil, eris.Wrap(err, "decode the state of the order journal")
	}
	for _, d := range raw {
		rec, err := codec.DecodeJournalRecord(d)
		if err != nil {
			return nil, eris.Wrap(err, "decode the state of the order journal")
		}
		state[rec.OrderKey] = rec
	}
	return state, nil
}

// sortedState returns the records in the order of their keys.
func sortedState(state map[string]proto.JournalRecord) []proto.JournalRecord {
	out := make([]proto.JournalRecord, 0, len(state))
	for _, key := range slices.Sorted(maps.Keys(state)) {
		out = append(out, state[key])
	}
	return out
}
