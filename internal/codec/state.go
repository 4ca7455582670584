package codec

import (
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Outcome is a committed change with the result of applying it.
type Outcome struct {
	Committed model.Committed
	Result    model.Result
}

// ControlState is the state of the replicated log at one index.
type ControlState struct {
	Config model.Config
	// OldSeats are the seats before a SetSeats that is not in force yet. It is nil
	// if there is no such change.
	OldSeats []model.HostID
	// History holds the newest outcomes in the order of the log.
	History []Outcome
}

// LogRecord is one record of the replicated log on a control host's disk.
type LogRecord struct {
	// Term and VotedFor are the hard state in the sense of Raft, as it is after this record.
	Term     model.Term
	VotedFor model.HostID
	// TruncateFrom is the index from which entries are removed before Entries are
	// appended, or 0 to remove none.
	TruncateFrom uint64
	Entries      []proto.LogEntry
	// State is an encoded ControlState that replaces the log up to StateIndex, or nil.
	State      []byte
	StateIndex uint64
	StateTerm  model.Term
	// LearnerID is the random number of a host that started without state and may
	// not vote yet. It is 0 for other hosts.
	LearnerID uint64
}

type outcomeDTO struct {
	Committed committedDTO `cbor:"1,keyasint"`
	Result    resultDTO    `cbor:"2,keyasint"`
}

type controlStateDTO struct {
	Config   configDTO      `cbor:"1,keyasint"`
	OldSeats []model.HostID `cbor:"2,keyasint,omitempty"`
	History  []outcomeDTO   `cbor:"3,keyasint"`
}

type logRecordDTO struct {
	Term         model.Term    `cbor:"1,keyasint"`
	VotedFor     model.HostID  `cbor:"2,keyasint,omitempty"`
	TruncateFrom uint64        `cbor:"3,keyasint,omitempty"`
	Entries      []logEntryDTO `cbor:"4,keyasint,omitempty"`
	State        []byte        `cbor:"5,keyasint,omitempty"`
	StateIndex   uint64        `cbor:"6,keyasint,omitempty"`
	StateTerm    model.Term    `cbor:"7,keyasint,omitempty"`
	LearnerID    uint64        `cbor:"8,keyasint,omitempty"`
}

// EncodeControlState encodes the state of the replicated log. Equal states have equal bytes.
func EncodeControlState(s ControlState) ([]byte, error) {
	cfg, err := configToDTO(s.Config)
	if err != nil {
		return nil, err
	}
	history, err := mapSlice(s.History, outcomeToDTO)
	if err != nil {
		return nil, err
	}
	return encode("control state", controlStateDTO{Config: cfg, OldSeats: s.OldSeats, History: history})
}

// DecodeControlState decodes the state of the replicated log.
func DecodeControlState(data []byte) (ControlState, error) {
	var dto controlStateDTO
	if err := decode("control state", data, &dto); err != nil {
		return ControlState{}, err
	}
	cfg, err := configFromDTO(dto.Config)
	if err != nil {
		return ControlState{}, err
	}
	history, err := mapSlice(dto.History, outcomeFromDTO)
	return ControlState{Config: cfg, OldSeats: dto.OldSeats, History: history}, err
}

func outcomeToDTO(o Outcome) (outcomeDTO, error) {
	c, err := committedToDTO(o.Committed)
	return outcomeDTO{Committed: c, Result: resultDTO(o.Result)}, err
}

func outcomeFromDTO(dto outcomeDTO) (Outcome, error) {
	c, err := committedFromDTO(dto.Committed)
	if err != nil {
		return Outcome{}, err
	}
	r, err := resultFromDTO(dto.Result)
	return Outcome{Committed: c, Result: r}, err
}

// EncodeLogRecord encodes a record of the replicated log.
func EncodeLogRecord(r LogRecord) ([]byte, error) {
	entries, err := mapSlice(r.Entries, logEntryToDTO)
	if err != nil {
		return nil, err
	}
	return encode("control record", logRecordDTO{
		Term:         r.Term,
		VotedFor:     r.VotedFor,
		TruncateFrom: r.TruncateFrom,
		Entries:      entries,
		State:        r.State,
		StateIndex:   r.StateIndex,
		StateTerm:    r.StateTerm,
		LearnerID:    r.LearnerID,
	})
}

// DecodeLogRecord decodes a record of the replicated log.
func DecodeLogRecord(data []byte) (LogRecord, error) {
	var dto logRecordDTO
	if err := decode("control record", data, &dto); err != nil {
		return LogRecord{}, err
	}
	entries, err := mapSlice(dto.Entries, logEntryFromDTO)
	return LogRecord{
		Term:         dto.Term,
		VotedFor:     dto.VotedFor,
		TruncateFrom: dto.TruncateFrom,
		Entries:      entries,
		State:        dto.State,
		StateIndex:   dto.StateIndex,
		StateTerm:    dto.StateTerm,
		LearnerID:    dto.LearnerID,
	}, err
}
