package wire

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// binding holds the kind number of a message type and the functions that encode
// and decode the body of such a message.
type binding struct {
	kind   uint16
	typ    reflect.Type
	encode func(m proto.Message) (any, error)
	decode func(dec cbor.DecMode, body []byte) (proto.Message, error)
}

// bind returns the binding of a message that two functions convert to its
// encoded struct and back.
func bind[M proto.Message, D any](kind uint16, toWire func(M) (D, error), fromWire func(D) (M, error)) binding {
	return binding{
		kind: kind,
		typ:  reflect.TypeFor[M](),
		encode: func(m proto.Message) (any, error) {
			v, ok := m.(M)
			if !ok {
				return nil, fmt.Errorf("message %T is not a %s", m, reflect.TypeFor[M]())
			}
			return toWire(v)
		},
		decode: func(dec cbor.DecMode, body []byte) (proto.Message, error) {
			var d D
			if err := dec.Unmarshal(body, &d); err != nil {
				return nil, err
			}
			return fromWire(d)
		},
	}
}

// bindInfallible is bind for conversions that cannot fail.
func bindInfallible[M proto.Message, D any](kind uint16, toWire func(M) D, fromWire func(D) M) binding {
	return bind(kind,
		func(m M) (D, error) { return toWire(m), nil },
		func(d D) (M, error) { return fromWire(d), nil })
}

// bindings returns the binding of every message. Kind numbers are part of the
// protocol: the number of a removed message must not be used for another message.
func bindings() []binding {
	var all []binding
	all = append(all, logBindings()...)
	all = append(all, freshBindings()...)
	all = append(all, partBindings()...)
	all = append(all, leaseBindings()...)
	all = append(all, standbyBindings()...)
	all = append(all, poolBindings()...)
	all = append(all, restoreBindings()...)
	all = append(all, orderBindings()...)
	all = append(all, journalFormBindings()...)
	all = append(all, joinBindings()...)
	return append(all, reportBindings()...)
}

// mapSlice applies f to each element. It returns nil only for a nil slice,
// since nil and empty lists differ in meaning in some messages.
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

// convertSlice is mapSlice for conversions that cannot fail.
func convertSlice[A, B any](in []A, f func(A) B) []B {
	out, _ := mapSlice(in, func(a A) (B, error) { return f(a), nil })
	return out
}

// checkEnum refuses values outside an enumeration from 1 to last. The name
// identifies the value in the error.
func checkEnum[E ~int](name string, v, last E) error {
	if v < 1 || v > last {
		return fmt.Errorf("%s %d is outside 1 to %d", name, v, last)
	}
	return nil
}

// decodeDigest copies a digest of 32 bytes and refuses other lengths.
func decodeDigest[H ~[32]byte](data []byte) (H, error) {
	var h H
	if len(data) != len(h) {
		return h, fmt.Errorf("digest of %d bytes instead of %d", len(data), len(h))
	}
	copy(h[:], data)
	return h, nil
}
