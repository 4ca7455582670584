// Package wire encodes envelopes as CBOR frames for links between processes.
//
// Functions of this package, which a Codec also has as methods:
//
//	Encode(e proto.Envelope) ([]byte, error)
//	Decode(frame []byte) (proto.Envelope, error)
//
// Decode refuses frames longer than MaxFrame, unknown kinds and malformed
// CBOR with a typed error, and never panics.
//
// Each message of package proto has a corresponding struct here, such as voteAsk
// for proto.VoteAsk. Tags number its fields as keys of a CBOR map; these numbers
// are part of the protocol, and the Go names are not.
package wire

// MaxFrame is the length of the longest frame in bytes. Snapshots that do not fit
// into one message are transferred by package part.
const MaxFrame = 8 << 20
