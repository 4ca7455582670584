package wire

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"tarragongauge.example/tarragongauge/internal/proto"
)

// binding ties a message type to its kind number and its mapping.
type binding struct {
	kind   uint16
	typ    reflect.Type
	encode func(m proto.Message) (any, error)
	decode func(dec cbor.DecMode, body []byte) (proto.Message, error)
}

// bind maps a message by a pair of functions that may fail.
func bind[M proto.Message, D any](kind uint16, to func(M) (D, error), from func(D) (M, error)) binding {
	return binding{
		kind: kind,
		typ:  reflect.TypeFor[M](),
		encode: func(m proto.Message) (any, error) {
			v, ok := m.(M)
			if !ok {
				return nil, fmt.Errorf("message %T is not a %s", m, reflect.TypeFor[M]())
			}
			return to(v)
		},
		decode: func(dec cbor.DecMode, body []byte) (proto.Message, error) {
			var d D
			if err := dec.Unmarshal(body, &d); err != nil {
				return nil, err
			}
			return from(d)
		},
	}
}

// plain maps a message by a pair of functions that cannot fail.
func plain[M proto.Message, D any](kind uint16, to func(M) D, from func(D) M) binding {
	return bind(kind,
		func(m M) (D, error) { return to(m), nil },
		func(d D) (M, error) { return from(d), nil })
}

// bindings returns the mapping of every message. Kind numbers are part of the
// protocol: a number is never used again for another message.
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
	all = append(all, formBindings()...)
	all = append(all, joinBindings()...)
	return append(all, reportBindings()...)
}

// mapSlice maps a slice and keeps nil apart from empty, since some messages give nil a meaning.
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

// convert is mapSlice for functions that cannot fail.
func convert[A, B any](in []A, f func(A) B) []B {
	out, _ := mapSlice(in, func(a A) (B, error) { return f(a), nil })
	return out
}

// checkEnum refuses values outside an enumeration that starts at 1.
func checkEnum[E ~int](name string, v, last E) error {
	if v < 1 || v > last {
		return fmt.Errorf("%s %d is outside 1 to %d", name, v, last)
	}
	return nil
}

// checkDigest copies a digest and refuses other lengths.
func checkDigest[H ~[32]byte](data []byte) (H, error) {
	var h H
	if len(data) != len(h) {
		return h, fmt.Errorf("digest of %d bytes instead of %d", len(data), len(h))
	}
	copy(h[:], data)
	return h, nil
}
