// Package defl compresses the frames of a link against the earlier ones with a
// small window, so that a host can hold a link to each host of a large fleet: a
// link keeps 16 KiB at most, and the compressors are shared by all links.
//
// A frame is a byte that tells its form, followed by the content as it is or in
// the DEFLATE format of RFC 1951, with the last 8 KiB of the earlier contents
// as the preset dictionary.
package defl

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

const (
	// window is the length in bytes of the earlier contents that a frame refers
	// to. It is the longest dictionary of flate.StatelessDeflate.
	window = 8 << 10
	// minLength is the length in bytes from which a frame is compressed.
	minLength = 48
)

// Forms of a frame.
const (
	formPlain   = 0
	formDeflate = 1
)

// ErrFrame tells that a frame is malformed or too long. The link must be closed:
// the contents that later frames refer to are unknown.
type ErrFrame struct {
	Cause error
}

func (e ErrFrame) Error() string {
	return fmt.Sprintf("malformed compressed frame: %v; run the same version on both hosts", e.Cause)
}

func (e ErrFrame) Unwrap() error { return e.Cause }

// history holds the end of the contents of all frames in one direction.
type history struct {
	// data is at most 2 × window long; its last window bytes are the dictionary.
	data []byte
}

func (h *history) dictionary() []byte {
	return h.data[max(0, len(h.data)-window):]
}

func (h *history) add(content []byte) {
	if len(content) >= window {
		h.data = append(h.data[:0], content[len(content)-window:]...)
		return
	}
	if len(h.data)+len(content) > 2*window {
		h.data = append(h.data[:0], h.dictionary()...)
	}
	h.data = append(h.data, content...)
}

// Compressor compresses the frames that one side of a link sends. The zero
// value is ready. It is not safe for concurrent use.
type Compressor struct {
	sent history
	buf  bytes.Buffer
}

// Frame returns the frame for a content. It is valid until the next call.
func (c *Compressor) Frame(content []byte) ([]byte, error) {
	c.buf.Reset()
	if len(content) >= minLength {
		c.buf.WriteByte(formDeflate)
		if err := flate.StatelessDeflate(&c.buf, content, true, c.sent.dictionary()); err != nil {
			return nil, fmt.Errorf("compress a frame of %d bytes: %w", len(content), err)
		}
	}
	if n := c.buf.Len(); n == 0 || n > len(content) {
		c.buf.Reset()
		c.buf.WriteByte(formPlain)
		c.buf.Write(content)
	}
	c.sent.add(content)
	return c.buf.Bytes(), nil
}

// Decompressor restores the frames that one side of a link receives. It is not
// safe for concurrent use.
type Decompressor struct {
	received history
	pool     *Pool
	limit    int
}

// NewDecompressor returns a decompressor of frames with contents of up to limit bytes.
func NewDecompressor(pool *Pool, limit int) *Decompressor {
	return &Decompressor{pool: pool, limit: limit}
}

// Content returns the content of a frame. Its errors are ErrFrame.
func (d *Decompressor) Content(frame []byte) ([]byte, error) {
	content, err := d.decode(frame)
	if err != nil {
		return nil, ErrFrame{Cause: err}
	}
	if len(content) > d.limit {
		return nil, ErrFrame{Cause: fmt.Errorf("the content exceeds %d bytes", d.limit)}
	}
	d.received.add(content)
	return content, nil
}

func (d *Decompressor) decode(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, errors.New("the form is missing")
	}
	switch frame[0] {
	case formPlain:
		return frame[1:], nil
	case formDeflate:
		return d.inflate(frame[1:])
	default:
		return nil, fmt.Errorf("unknown form %d", frame[0])
	}
}

// Pool holds inflaters, which need some 40 KiB each. The links of a host share
// one. It is safe for concurrent use.
type Pool struct {
	inflaters sync.Pool
}

// NewPool returns a pool that creates inflaters as they are needed.
func NewPool() *Pool {
	return &Pool{inflaters: sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}}
}

// inflater is what flate.NewReader returns.
type inflater interface {
	io.Reader
	flate.Resetter
}

func (d *Decompressor) inflate(data []byte) ([]byte, error) {
	r, ok := d.pool.inflaters.Get().(inflater)
	if !ok {
		return nil, errors.New("the inflater cannot be used again")
	}
	defer d.pool.inflaters.Put(r)
	in := bytes.NewReader(data)
	if err := r.Reset(in, d.received.dictionary()); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(r, int64(d.limit)+1))
	if err != nil {
		return nil, err
	}
	if len(content) <= d.limit && in.Len() > 0 {
		return nil, fmt.Errorf("%d bytes follow the content", in.Len())
	}
	return content, nil
}
