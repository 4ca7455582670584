package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Heads of CBOR items: the major type in the upper three bits, then a length
// below 24 or the number of bytes, as a power of two, in which it follows.
const (
	cborArray     = 0x80
	cborMajor     = 0xe0
	cborNull      = 0xf6
	cborUndefined = 0xf7
	cborOneByte   = 24
	cborEightByte = 27
)

// workspacesDTO encodes as a list of workspaceDTO by ascending name.
type workspacesDTO struct{ model.Workspaces }

// keysDTO encodes as a list of keyDTO by ascending digest.
type keysDTO struct{ model.Keys }

// MarshalCBOR encodes the list.
func (d workspacesDTO) MarshalCBOR() ([]byte, error) {
	var list []workspaceDTO
	if n := d.Len(); n > 0 {
		list = make([]workspaceDTO, 0, n)
	}
	for ws := range d.All() {
		list = append(list, workspaceDTO(ws))
	}
	return encode("workspaces", list)
}

// UnmarshalCBOR decodes the list.
func (d *workspacesDTO) UnmarshalCBOR(data []byte) error {
	var err error
	list := elements(data, &err, func(dto workspaceDTO) (model.Workspace, error) { return model.Workspace(dto), nil })
	table, orderErr := model.NewWorkspaces(list)
	d.Workspaces = table
	return errors.Join(err, orderErr)
}

// MarshalCBOR encodes the list.
func (d keysDTO) MarshalCBOR() ([]byte, error) {
	var list []keyDTO
	if n := d.Len(); n > 0 {
		list = make([]keyDTO, 0, n)
	}
	for k := range d.All() {
		list = append(list, keyToDTO(k))
	}
	return encode("keys", list)
}

// UnmarshalCBOR decodes the list.
func (d *keysDTO) UnmarshalCBOR(data []byte) error {
	var err error
	table, orderErr := model.NewKeys(elements(data, &err, keyFromDTO))
	d.Keys = table
	return errors.Join(err, orderErr)
}

// elements decodes the elements of a list one by one, so that no list of them
// is held beside what the caller makes of them. It stops at the first error
// and stores it. The list is well-formed CBOR, which the decoder that calls
// UnmarshalCBOR has checked, and null or undefined stand for an empty one.
func elements[D, V any](data []byte, failed *error, convert func(D) (V, error)) iter.Seq[V] {
	return func(yield func(V) bool) {
		n, rest, err := arrayHead(data)
		if err != nil {
			*failed = err
			return
		}
		mode, err := StrictDecOptions(maxItems, maxDepth).DecMode()
		if err != nil {
			*failed = fmt.Errorf("decode a list: %w", err)
			return
		}
		var dto D
		for range n {
			dto = *new(D)
			if rest, err = mode.UnmarshalFirst(rest, &dto); err != nil {
				*failed = err
				return
			}
			v, err := convert(dto)
			if err != nil {
				*failed = err
				return
			}
			if !yield(v) {
				return
			}
		}
	}
}

// arrayHead returns the number of elements of an array and the bytes after its head.
func arrayHead(data []byte) (uint64, []byte, error) {
	if len(data) == 0 {
		return 0, nil, errors.New("a list has no bytes")
	}
	if data[0] == cborNull || data[0] == cborUndefined {
		return 0, nil, nil
	}
	info := data[0] &^ cborMajor
	if data[0]&cborMajor != cborArray || info > cborEightByte {
		return 0, nil, fmt.Errorf("a list begins with byte %#x, which is not the head of an array", data[0])
	}
	if info < cborOneByte {
		return uint64(info), data[1:], nil
	}
	size := 1 << (info - cborOneByte)
	if len(data) <= size {
		return 0, nil, errors.New("the head of a list is cut off")
	}
	var length [8]byte
	copy(length[8-size:], data[1:])
	return binary.BigEndian.Uint64(length[:]), data[1+size:], nil
}
