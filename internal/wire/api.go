// Package wire encodes envelopes as CBOR frames for links between processes.
//
// Functions of this package, which a Codec also has as methods:
//
//	Encode(e proto.Envelope) ([]byte, error)
//	Decode(frame []byte) (proto.Envelope, error)
//
// Decode refuses frames longer than MaxFrame, unknown kinds and malformed
// CBOR with a typed error, and never panics.
package wire

// MaxFrame is the longest frame in bytes. A snapshot of today's configuration is far below it.
const MaxFrame = 8 << 20
