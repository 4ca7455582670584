package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Heads of CBOR items (RFC 8949, section 3). The upper three bits are the major
// type. The lower five are the length if it is below 24. The values 24 to 27 mean
// that the length follows in 1, 2, 4 or 8 bytes.
const (
	cborArray            = 0x80
	cborMajorMask        = 0xe0
	cborNull             = 0xf6
	cborUndefined        = 0xf7
	cborLengthOneByte    = 24
	cborLengthEightBytes = 27
)

// workspacesDTO is encoded as a list of workspaceDTO in ascending order of names.
type workspacesDTO struct{ model.Workspaces }

// keysDTO is encoded as a list of keyDTO in ascending order of digests.
type keysDTO struct{ model.Keys }

// MarshalCBOR implements cbor.Marshaler.
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

// UnmarshalCBOR implements cbor.Unmarshaler. It refuses a list that is not in order.
func (d *workspacesDTO) UnmarshalCBOR(data []byte) error {
	var err error
	list := decodeElements(data, &err, func(dto workspaceDTO) (model.Workspace, error) { return model.Workspace(dto), nil })
	table, orderErr := model.NewWorkspaces(list)
	d.Workspaces = table
	return errors.Join(err, orderErr)
}

// MarshalCBOR implements cbor.Marshaler.
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

// UnmarshalCBOR implements cbor.Unmarshaler. It refuses a list that is not in order.
func (d *keysDTO) UnmarshalCBOR(data []byte) error {
	var err error
	table, orderErr := model.NewKeys(decodeElements(data, &err, keyFromDTO))
	d.Keys = table
	return errors.Join(err, orderErr)
}

// decodeElements returns an iterator that decodes the elements of a list one by
// one, so that the decoded list is not in memory in addition to the table that
// the caller builds from it. It stops at the first error and stores it in
// errOut. The list must be well-formed CBOR, which the decoder has checked before
// it calls UnmarshalCBOR. Null and undefined stand for an empty list.
func decodeElements[D, V any](data []byte, errOut *error, convert func(D) (V, error)) iter.Seq[V] {
	return func(yield func(V) bool) {
		n, rest, err := parseArrayHead(data)
		if err != nil {
			*errOut = err
			return
		}
		mode, err := StrictDecOptions(maxItems, maxDepth).DecMode()
		if err != nil {
			*errOut = fmt.Errorf("decode a list: %w", err)
			return
		}
		var dto D
		for range n {
			dto = *new(D)
			if rest, err = mode.UnmarshalFirst(rest, &dto); err != nil {
				*errOut = err
				return
			}
			v, err := convert(dto)
			if err != nil {
				*errOut = err
				return
			}
			if !yield(v) {
				return
			}
		}
	}
}

// parseArrayHead returns the number of elements of a CBOR array and the bytes
// after its head.
func parseArrayHead(data []byte) (uint64, []byte, error) {
	if len(data) == 0 {
		return 0, nil, errors.New("a list has no bytes")
	}
	if data[0] == cborNull || data[0] == cborUndefined {
		return 0, nil, nil
	}
	info := data[0] &^ cborMajorMask
	if data[0]&cborMajorMask != cborArray || info > cborLengthEightBytes {
		return 0, nil, fmt.Errorf("a list begins with byte %#x, which is not the head of an array", data[0])
	}
	if info < cborLengthOneByte {
		return uint64(info), data[1:], nil
	}
	size := 1 << (info - cborLengthOneByte)
	if len(data) <= size {
		return 0, nil, errors.New("the head of a list is cut off")
	}
	var length [8]byte
	copy(length[8-size:], data[1:])
	return binary.BigEndian.Uint64(length[:]), data[1+size:], nil
}
