package wire

import (
	"fmt"
	"reflect"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Limits of decoding. A short frame must not decode to a large amount of memory.
const (
	// maxItems limits the elements of a list. The longest list has the members of
	// 4,000 hosts. Without the limit a frame of 8 MiB could decode to a gigabyte
	// of empty values.
	maxItems = 1 << 17
	// maxDepth limits the nesting. Messages stay below it, because changes, log
	// entries and records are encoded as byte strings within them.
	maxDepth = 12
)

// outgoingFrame is a frame to be encoded: a CBOR array of its four fields.
type outgoingFrame struct {
	_    struct{} `cbor:",toarray"`
	From model.HostID
	To   model.HostID
	Kind uint16
	Body any
}

// incomingFrame is a received frame with the same fields as outgoingFrame. Its
// body stays encoded until the kind is known.
type incomingFrame struct {
	_    struct{} `cbor:",toarray"`
	From model.HostID
	To   model.HostID
	Kind uint16
	Body cbor.RawMessage
}

// Codec encodes and decodes envelopes. It is immutable and safe for concurrent use.
type Codec struct {
	enc    cbor.EncMode
	dec    cbor.DecMode
	byType map[reflect.Type]binding
	byKind map[uint16]binding
}

// NewCodec returns a codec for every message of package proto.
func NewCodec() (*Codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("set up encoding: %w", err)
	}
	dec, err := codec.StrictDecOptions(maxItems, maxDepth).DecMode()
	if err != nil {
		return nil, fmt.Errorf("set up decoding: %w", err)
	}
	c := &Codec{enc: enc, dec: dec, byType: map[reflect.Type]binding{}, byKind: map[uint16]binding{}}
	for _, b := range bindings() {
		c.byType[b.typ] = b
		c.byKind[b.kind] = b
	}
	return c, nil
}

// Encode returns the frame of an envelope.
func (c *Codec) Encode(e proto.Envelope) ([]byte, error) {
	b, ok := c.byType[reflect.TypeOf(e.Body)]
	if !ok {
		return nil, ErrUnknownKind{Kind: fmt.Sprintf("%T", e.Body)}
	}
	body, err := b.encode(e.Body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e.Body, err)
	}
	frame, err := c.enc.Marshal(outgoingFrame{From: e.From, To: e.To, Kind: b.kind, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e.Body, err)
	}
	if len(frame) > MaxFrame {
		return nil, ErrTooLong{Bytes: len(frame)}
	}
	return frame, nil
}

// Decode returns the envelope of a frame that holds exactly one.
func (c *Codec) Decode(frame []byte) (proto.Envelope, error) {
	e, rest, err := c.DecodeFirst(frame)
	if err != nil {
		return proto.Envelope{}, err
	}
	if len(rest) > 0 {
		return proto.Envelope{}, ErrMalformed{Cause: fmt.Errorf("%d bytes after the envelope", len(rest))}
	}
	return e, nil
}

// DecodeFirst returns the first envelope of a frame and the bytes after it. A
// link writes several short envelopes as one frame. If only the kind or the body
// of the envelope is invalid, the bytes after it are returned with the error.
// They are nil if the end of the envelope cannot be found.
func (c *Codec) DecodeFirst(frame []byte) (proto.Envelope, []byte, error) {
	if len(frame) > MaxFrame {
		return proto.Envelope{}, nil, ErrTooLong{Bytes: len(frame)}
	}
	var in incomingFrame
	rest, err := c.dec.UnmarshalFirst(frame, &in)
	if err != nil {
		return proto.Envelope{}, nil, ErrMalformed{Cause: err}
	}
	b, ok := c.byKind[in.Kind]
	if !ok {
		return proto.Envelope{}, rest, ErrUnknownKind{Kind: strconv.Itoa(int(in.Kind))}
	}
	body, err := b.decode(c.dec, in.Body)
	if err != nil {
		return proto.Envelope{}, rest, ErrMalformed{Cause: fmt.Errorf("%s: %w", b.typ.Name(), err)}
	}
	return proto.Envelope{From: in.From, To: in.To, Body: body}, rest, nil
}

// Encode returns the frame of an envelope. It creates a Codec for each call;
// callers that encode often should keep one.
func Encode(e proto.Envelope) ([]byte, error) {
	c, err := NewCodec()
	if err != nil {
		return nil, err
	}
	return c.Encode(e)
}

// Decode returns the envelope of a frame. It creates a Codec for each call;
// callers that decode often should keep one.
func Decode(frame []byte) (proto.Envelope, error) {
	c, err := NewCodec()
	if err != nil {
		return proto.Envelope{}, err
	}
	return c.Decode(frame)
}
