package codec

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of decoding. A container cannot have more items than its input has
// bytes, so these limit only the amplification from bytes to Go values.
const (
	// maxItems covers 320,000 workspaces, the size foreseen in section 11 of
	// the design, with room for several keys each.
	maxItems = 1 << 21
	// maxDepth is above the deepest value this package encodes, which has 8 levels.
	maxDepth = 16
)

// ErrMalformed tells that bytes are not an encoded value of the named kind.
type ErrMalformed struct {
	// Value names what was to be decoded.
	Value string
	Cause error
}

func (e ErrMalformed) Error() string {
	return fmt.Sprintf("malformed %s: %v; check that all hosts run the same version of tarragongauge and that the data is undamaged", e.Value, e.Cause)
}

// Unwrap returns the cause.
func (e ErrMalformed) Unwrap() error { return e.Cause }

// IsErrMalformed reports whether err is or wraps an ErrMalformed.
func IsErrMalformed(err error) bool {
	var e ErrMalformed
	return errors.As(err, &e)
}

// encode writes the fields of structs by ascending number, so that equal
// values have equal bytes on every host.
func encode(value string, v any) ([]byte, error) {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", value, err)
	}
	data, err := mode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", value, err)
	}
	return data, nil
}

// StrictDecOptions returns the options of every decoder of the fleet. Unknown fields are
// refused: ignoring a field that another version added could apply a change
// differently on two hosts. Strings may hold invalid UTF-8, since order keys
// and headers come from callers. Lists and maps are bounded by items, nesting
// by depth.
func StrictDecOptions(items, depth int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   depth,
		MaxArrayElements:  items,
		MaxMapPairs:       items,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8:              cbor.UTF8DecodeInvalid,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
	}
}

func decode(value string, data []byte, v any) error {
	mode, err := StrictDecOptions(maxItems, maxDepth).DecMode()
	if err != nil {
		return fmt.Errorf("decode %s: %w", value, err)
	}
	if err := mode.Unmarshal(data, v); err != nil {
		return ErrMalformed{Value: value, Cause: err}
	}
	return nil
}

func malformed(value, format string, args ...any) error {
	return ErrMalformed{Value: value, Cause: fmt.Errorf(format, args...)}
}

// checkFinite refuses floats that CBOR can encode but decode would refuse.
func checkFinite(value string, fs ...float64) error {
	for _, f := range fs {
		if math.IsNaN(f) || math.IsInf(f, 0) {
			return fmt.Errorf("encode %s: %v is not a finite number", value, f)
		}
	}
	return nil
}

// decodeHash checks the length of a SHA-256 digest.
func decodeHash[H ~[32]byte](value string, data []byte) (H, error) {
	var h H
	if len(data) != len(h) {
		return h, malformed(value, "digest of %d bytes instead of %d", len(data), len(h))
	}
	copy(h[:], data)
	return h, nil
}

// mapSlice maps a slice and keeps nil apart from empty.
func mapSlice[A, B any](in []A, f func(A) (B, error)) ([]B, error) {
	if in == nil {
		return nil, nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		b, err := f(a)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}
