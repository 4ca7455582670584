// Package defl compresses the frames of a link against the earlier ones with a
// small window, so that a host can hold a link to each host of a large fleet: a
// link keeps 56 KiB at most, and the compressors are shared by all links.
//
// A frame is a byte that tells its form, followed by the content as it is or in
// the DEFLATE format of RFC 1951, with the end of the earlier contents as the
// preset dictionary.
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
	// window is the length in bytes of the earlier contents that a frame may refer
	// to. It holds a whole configuration of some 80 workspaces, which changes
	// repeat, and slack is what more is kept to copy less often.
	window = 24 << 10
	slack  = 4 << 10
	// minLength is the length in bytes from which a frame is compressed, and
	// longLength that from which it is compressed against the whole window: a
	// compressor takes some 100 us to read that. Others use the last 8 KiB, the
	// longest dictionary of flate.StatelessDeflate.
	minLength  = 48
	longLength = 2 << 10
	// longLevel is the fastest level that finds all of a repeated configuration.
	longLevel = 3
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
	// data is at most window + slack long; its last window bytes are the dictionary.
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
	if over := len(h.data) + len(content) - window - slack; over > 0 {
		keep := window - len(content)
		h.data = append(h.data[:0], h.data[len(h.data)-keep:]...)
	}
	h.data = append(h.data, content...)
}

// Compressor compresses the frames that one side of a link sends. It is not safe
// for concurrent use.
type Compressor struct {
	sent history
	pool *Pool
	buf  bytes.Buffer
}

// NewCompressor returns a compressor of a link.
func NewCompressor(pool *Pool) *Compressor { return &Compressor{pool: pool} }

// Compress returns the frame for a content. It is valid until the next call.
func (c *Compressor) Compress(content []byte) ([]byte, error) {
	c.buf.Reset()
	if len(content) >= minLength {
		c.buf.WriteByte(formDeflate)
		if err := c.deflate(content); err != nil {
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

func (c *Compressor) deflate(content []byte) error {
	if len(content) < longLength {
		return flate.StatelessDeflate(&c.buf, content, true, c.sent.dictionary())
	}
	w, err := c.pool.deflater(&c.buf, c.sent.dictionary())
	if err != nil {
		return err
	}
	defer c.pool.deflaters.Put(w)
	if _, err := w.Write(content); err != nil {
		return err
	}
	return w.Close()
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

// Decompress returns the content of a frame. Its errors are ErrFrame.
func (d *Decompressor) Decompress(frame []byte) ([]byte, error) {
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

// Pool holds inflaters, which need some 40 KiB each, and deflaters, which need
// more. The links of a host share one. It is safe for concurrent use.
type Pool struct {
	inflaters sync.Pool
	deflaters sync.Pool
}

// deflater returns a compressor that writes to w and refers to a dictionary.
func (p *Pool) deflater(w io.Writer, dict []byte) (*flate.Writer, error) {
	if d, ok := p.deflaters.Get().(*flate.Writer); ok {
		d.ResetDict(w, dict)
		return d, nil
	}
	return flate.NewWriterDict(w, longLevel, dict)
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
