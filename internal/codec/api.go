// Package codec maps domain values to CBOR and back by hand, so that domain
// types carry no tags. Decoding checks lengths and ranges, and never panics.
//
// Functions of this package:
//
//	EncodeConfig(cfg model.Config) ([]byte, error)
//	DecodeConfig(data []byte) (model.Config, error)
//	EncodeProposal(p model.Proposal) ([]byte, error)
//	DecodeProposal(data []byte) (model.Proposal, error)
//	EncodeEntry(e proto.LogEntry) ([]byte, error)
//	DecodeEntry(data []byte) (proto.LogEntry, error)
//	EncodeRecord(r proto.JournalRecord) ([]byte, error)
//	DecodeRecord(data []byte) (proto.JournalRecord, error)
//	EncodeResult(r model.Result) ([]byte, error)
//	DecodeResult(data []byte) (model.Result, error)
//	EncodeCommitted(c model.Committed) ([]byte, error)
//	DecodeCommitted(data []byte) (model.Committed, error)
//	EncodeControl(s ControlState) ([]byte, error)
//	DecodeControl(data []byte) (ControlState, error)
//	EncodeLog(r LogRecord) ([]byte, error)
//	DecodeLog(data []byte) (LogRecord, error)
package codec
