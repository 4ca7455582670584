// Package codec converts domain values to CBOR and back. It maps each domain
// type by hand to a struct with tags, named with the suffix DTO, so that domain
// types carry no tags. The numbers in the tags are part of the stored format.
// Decoding checks lengths and ranges, and never panics.
//
// Functions of this package:
//
//	EncodeConfig(cfg model.Config) ([]byte, error)
//	DecodeConfig(data []byte) (model.Config, error)
//	EncodeProposal(p model.Proposal) ([]byte, error)
//	DecodeProposal(data []byte) (model.Proposal, error)
//	EncodeLogEntry(e proto.LogEntry) ([]byte, error)
//	DecodeLogEntry(data []byte) (proto.LogEntry, error)
//	EncodeJournalRecord(r proto.JournalRecord) ([]byte, error)
//	DecodeJournalRecord(data []byte) (proto.JournalRecord, error)
//	EncodeResult(r model.Result) ([]byte, error)
//	DecodeResult(data []byte) (model.Result, error)
//	EncodeCommitted(c model.Committed) ([]byte, error)
//	DecodeCommitted(data []byte) (model.Committed, error)
//	EncodeControlState(s ControlState) ([]byte, error)
//	DecodeControlState(data []byte) (ControlState, error)
//	EncodeLogRecord(r LogRecord) ([]byte, error)
//	DecodeLogRecord(data []byte) (LogRecord, error)
package codec
