package wire

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// messageNames returns the names of all message types. It reads them from the
// source of package proto, so that a type without a binding is found.
func messageNames(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../proto/*.go")
	require.NoError(t, err)
	var names []string
	for _, path := range files {
		src, err := os.ReadFile(path)
		require.NoError(t, err)
		f, err := parser.ParseFile(token.NewFileSet(), path, src, 0)
		require.NoError(t, err)
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if ok && fn.Recv != nil && fn.Name.Name == "isMessage" {
				names = append(names, fn.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	return names
}

// fill sets every field to a value other than zero, so that a field that is not
// encoded differs after a round trip. The counter n makes the values differ.
func fill(v reflect.Value, n *int64) {
	*n++
	if e := reflect.TypeFor[model.Change](); v.Type() == e {
		v.Set(reflect.ValueOf(model.WithdrawWorkspace{Workspace: "w"}))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(1 + *n%3) // valid in every enumeration
	case reflect.Int64:
		v.SetInt(*n << 33)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(0.1)
	case reflect.String:
		v.SetString(strings.Repeat("x", int(*n)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, val := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(val, n)
		v.SetMapIndex(key, val)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

// Guards against a message type or field that is added to package proto without
// an encoding, against two message types with the same kind number, and against
// frames that are cut off and still decoded.
func TestEveryMessageRoundTrips(t *testing.T) {
	c, err := NewCodec()
	require.NoError(t, err)
	require.Len(t, c.byKind, len(bindings()))
	for _, name := range messageNames(t) {
		t.Run(name, func(t *testing.T) {
			i := slices.IndexFunc(bindings(), func(b binding) bool { return b.typ.Name() == name })
			require.GreaterOrEqual(t, i, 0, "proto.%s has no encoding", name)
			zero := reflect.New(bindings()[i].typ).Elem()
			full := reflect.New(bindings()[i].typ).Elem()
			var n int64
			fill(full, &n)
			e := proto.Envelope{From: "a", To: "b", Body: full.Interface().(proto.Message)}
			frame, err := c.Encode(e)
			require.NoError(t, err)
			got, err := c.Decode(frame)
			require.NoError(t, err)
			require.Equal(t, e, got)

			zeroFrame, err := c.Encode(proto.Envelope{Body: zero.Interface().(proto.Message)})
			require.NoError(t, err)
			if got, err = c.Decode(zeroFrame); err == nil {
				require.Equal(t, zero.Interface(), got.Body, "nil and empty must stay apart")
			}
			_, rest, err := c.DecodeFirst(slices.Concat(frame, zeroFrame))
			require.NoError(t, err)
			require.Equal(t, zeroFrame, rest)
			for cut := range frame {
				_, err := c.Decode(frame[:cut])
				require.True(t, IsErrMalformed(err), "cut at %d: %v", cut, err)
			}
		})
	}
}

// Guards against invalid frames from the network that are decoded or return the
// wrong error, against an invalid body that loses the messages after it in the
// same frame, and against messages that are encoded although no host can decode them.
func TestRefusesInvalidFrames(t *testing.T) {
	raw := func(kind uint16, body any) []byte {
		c, err := NewCodec()
		require.NoError(t, err)
		frame, err := c.enc.Marshal(outgoingFrame{From: "a", To: "b", Kind: kind, Body: body})
		require.NoError(t, err)
		return frame
	}
	tests := []struct {
		name  string
		frame []byte
		check func(error) bool
	}{
		{"empty", nil, IsErrMalformed},
		{"unknown kind", raw(9999, 1), IsErrUnknownKind},
		{"unknown field", raw(102, map[int]int{1: 1, 2: 2}), IsErrMalformed},
		{"short digest", raw(80, map[int][]byte{4: {1}}), IsErrMalformed},
		{"status out of range", raw(61, map[int]int{2: 99}), IsErrMalformed},
		{"bytes after the envelope", append(raw(102, map[int]int{1: 1}), 0), IsErrMalformed},
		{"length far beyond the input", []byte{0x84, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, IsErrMalformed},
		{"deep nesting", bytes.Repeat([]byte{0x81}, 4096), IsErrMalformed},
		{"too many items", raw(85, map[int]any{2: make([][]byte, maxItems+1)}), IsErrMalformed},
		{"too long", make([]byte, MaxFrame+1), IsErrTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode(tt.frame)
			require.True(t, tt.check(err), "got %v", err)
		})
	}
	c, err := NewCodec()
	require.NoError(t, err)
	for _, first := range [][]byte{raw(9999, 1), raw(61, map[int]int{2: 99})} {
		_, rest, err := c.DecodeFirst(append(first, 0x84))
		require.Error(t, err)
		require.Equal(t, []byte{0x84}, rest, "a fault of one body must not lose the messages after it")
	}
	_, rest, err := c.DecodeFirst([]byte{0x84, 0xff})
	require.Error(t, err)
	require.Nil(t, rest)
	_, err = Encode(proto.Envelope{Body: proto.StatusReply{Data: make([]byte, MaxFrame)}})
	require.True(t, IsErrTooLong(err))
	_, err = Encode(proto.Envelope{})
	require.True(t, IsErrUnknownKind(err))
}

// Guards against a panic on bytes from the network, and against a frame that
// decodes to a message that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	c, err := NewCodec()
	require.NoError(f, err)
	for _, b := range bindings() {
		v := reflect.New(b.typ).Elem()
		var n int64
		fill(v, &n)
		frame, err := c.Encode(proto.Envelope{From: "a", To: "b", Body: v.Interface().(proto.Message)})
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		e, err := c.Decode(frame)
		if err != nil {
			return
		}
		again, err := c.Encode(e)
		require.NoError(t, err)
		got, err := c.Decode(again)
		require.NoError(t, err)
		require.Equal(t, e, got)
	})
}

// BenchmarkSlotAsk measures one encoding and decoding of a SlotAsk.
func BenchmarkSlotAsk(b *testing.B) {
	c, err := NewCodec()
	require.NoError(b, err)
	e := proto.Envelope{From: "entry-1", To: "entry-2", Body: proto.SlotAsk{Nonce: 1, Service: "stockbook", Workspace: "shop-7", Request: "r", Fingerprint: 7, Zone: "z", Remaining: 1}}
	b.ReportAllocs()
	for b.Loop() {
		frame, err := c.Encode(e)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Decode(frame); err != nil {
			b.Fatal(err)
		}
	}
}
