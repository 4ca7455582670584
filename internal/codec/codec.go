package codec

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Limits of decoding. A list or map cannot have more items than its input has
// bytes, so these only limit how much larger the Go values are than the input.
const (
	// maxItems allows for 320,000 workspaces, the largest fleet that the design
	// provides for, with several keys each.
	maxItems = 1 << 21
	// maxDepth is above the deepest value that this package encodes, which has 8 levels.
	maxDepth = 16
)

// ErrMalformed is returned for bytes that are not an encoded value of the expected kind.
type ErrMalformed struct {
	// Value names the kind of value that was to be decoded, for the error message.
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

// encode returns the CBOR of v, with the fields of structs in ascending order of
// their numbers, so that equal values have equal bytes on every host. The
// argument value names the kind of v in errors.
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

// StrictDecOptions returns the options of every decoder of the fleet. Lists and
// maps have at most the given number of items, and values are nested at most to
// the given depth. Unknown fields are refused: if a host ignored a field that
// another version added, two hosts could apply a change differently. Strings may
// hold invalid UTF-8, since order keys and headers come from callers.
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

// decode decodes data into v. It returns ErrMalformed with the given value if
// that fails.
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

// malformed returns an ErrMalformed with a formatted cause.
func malformed(value, format string, args ...any) error {
	return ErrMalformed{Value: value, Cause: fmt.Errorf(format, args...)}
}

// checkFinite refuses NaN and infinities, which encode accepts but decode refuses.
func checkFinite(value string, fs ...float64) error {
	for _, f := range fs {
		if math.IsNaN(f) || math.IsInf(f, 0) {
			return fmt.Errorf("encode %s: %v is not a finite number", value, f)
		}
	}
	return nil
}

// decodeDigest copies a SHA-256 digest and refuses data of any other length.
func decodeDigest[H ~[32]byte](value string, data []byte) (H, error) {
	var h H
	if len(data) != len(h) {
		return h, malformed(value, "digest of %d bytes instead of %d", len(data), len(h))
	}
	copy(h[:], data)
	return h, nil
}

// mapSlice applies f to each element. It returns nil only for a nil slice, so
// that nil and empty lists stay distinct.
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
