// Package defl compresses the frames of a link, with the contents of the earlier
// frames as the dictionary. The window is small, so that a host can hold a link
// to each host of a large fleet: a link keeps at most 56 KiB, and all links share
// one pool of compressors.
//
// A frame is a byte for its form, followed by the content, which is either plain
// or in the DEFLATE format of RFC 1951 with the end of the earlier contents as
// the preset dictionary.
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
	// windowSize is how many bytes of the earlier contents a frame may refer to. It
	// is enough for a whole configuration of some 80 workspaces, which each change
	// sends again. windowSlack is how many more bytes are kept, so that the window
	// is not moved for every frame.
	windowSize  = 24 << 10
	windowSlack = 4 << 10
	// Contents shorter than minCompressedSize bytes are sent plain. Contents of at
	// least minFullWindowSize bytes are compressed against the whole window, which
	// takes a compressor some 100 us to read. Contents between them use the last
	// 8 KiB, the longest dictionary of flate.StatelessDeflate.
	minCompressedSize = 48
	minFullWindowSize = 2 << 10
	// fullWindowLevel is the fastest compression level that finds every repeated part of a configuration.
	fullWindowLevel = 3
)

// Values of the first byte of a frame.
const (
	formPlain   = 0
	formDeflate = 1
)

// ErrFrame is returned if a frame is malformed or its content too long. The link
// must be closed, since later frames refer to contents that were not received.
type ErrFrame struct {
	Cause error
}

func (e ErrFrame) Error() string {
	return fmt.Sprintf("malformed compressed frame: %v; run the same version on both hosts", e.Cause)
}

// Unwrap returns what is wrong with the frame.
func (e ErrFrame) Unwrap() error { return e.Cause }

// history holds the end of the contents that one side of a link has sent.
type history struct {
	// data is at most windowSize + windowSlack bytes long.
	data []byte
}

// dictionary returns the last windowSize bytes, or fewer at the start of a link.
func (h *history) dictionary() []byte {
	return h.data[max(0, len(h.data)-windowSize):]
}

// add appends the content of a frame and drops the oldest bytes if needed.
func (h *history) add(content []byte) {
	if len(content) >= windowSize {
		h.data = append(h.data[:0], content[len(content)-windowSize:]...)
		return
	}
	if over := len(h.data) + len(content) - windowSize - windowSlack; over > 0 {
		keep := windowSize - len(content)
		h.data = append(h.data[:0], h.data[len(h.data)-keep:]...)
	}
	h.data = append(h.data, content...)
}

// Compressor creates the frames that one side of a link sends. It is not safe for
// concurrent use.
type Compressor struct {
	history history
	pool    *Pool
	buf     bytes.Buffer
}

// NewCompressor returns a compressor for one direction of a new link.
func NewCompressor(pool *Pool) *Compressor { return &Compressor{pool: pool} }

// Compress returns the frame with a content. It sends the content plain if this
// is shorter. The frame is valid until the next call.
func (c *Compressor) Compress(content []byte) ([]byte, error) {
	c.buf.Reset()
	if len(content) >= minCompressedSize {
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
	c.history.add(content)
	return c.buf.Bytes(), nil
}

// deflate appends the compressed content to the buffer.
func (c *Compressor) deflate(content []byte) error {
	if len(content) < minFullWindowSize {
		return flate.StatelessDeflate(&c.buf, content, true, c.history.dictionary())
	}
	w, err := c.pool.getDeflater(&c.buf, c.history.dictionary())
	if err != nil {
		return err
	}
	defer c.pool.deflaters.Put(w)
	if _, err := w.Write(content); err != nil {
		return err
	}
	return w.Close()
}

// Decompressor decodes the frames that one side of a link receives. It must get
// all of them in order and is not safe for concurrent use.
type Decompressor struct {
	history        history
	pool           *Pool
	maxContentSize int
}

// NewDecompressor returns a decompressor for one direction of a new link. It
// refuses frames with a content of more than maxContentSize bytes.
func NewDecompressor(pool *Pool, maxContentSize int) *Decompressor {
	return &Decompressor{pool: pool, maxContentSize: maxContentSize}
}

// Decompress returns the content of a frame, or an ErrFrame.
func (d *Decompressor) Decompress(frame []byte) ([]byte, error) {
	content, err := d.decode(frame)
	if err != nil {
		return nil, ErrFrame{Cause: err}
	}
	if len(content) > d.maxContentSize {
		return nil, ErrFrame{Cause: fmt.Errorf("the content exceeds %d bytes", d.maxContentSize)}
	}
	d.history.add(content)
	return content, nil
}

// decode returns the content of a frame without adding it to the history.
func (d *Decompressor) decode(frame []byte) ([]byte, error) {
	if len(frame) == 0 {
		return nil, errors.New("the frame is empty")
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

// Pool holds unused inflaters, which need some 40 KiB each, and unused deflaters,
// which need more. The links of a host share one pool. It is safe for concurrent
// use.
type Pool struct {
	inflaters sync.Pool
	deflaters sync.Pool
}

// getDeflater returns a deflater that writes to w and uses a dictionary. The
// caller puts it back into the pool.
func (p *Pool) getDeflater(w io.Writer, dict []byte) (*flate.Writer, error) {
	if d, ok := p.deflaters.Get().(*flate.Writer); ok {
		d.ResetDict(w, dict)
		return d, nil
	}
	return flate.NewWriterDict(w, fullWindowLevel, dict)
}

// NewPool returns an empty pool. Inflaters and deflaters are created when needed.
func NewPool() *Pool {
	return &Pool{inflaters: sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}}
}

// inflater is implemented by the readers of flate.NewReader, which can be reset
// and used again.
type inflater interface {
	io.Reader
	flate.Resetter
}

// inflate decompresses data, but no more than one byte above maxContentSize. It
// refuses data with bytes after the end of the content.
func (d *Decompressor) inflate(data []byte) ([]byte, error) {
	r, ok := d.pool.inflaters.Get().(inflater)
	if !ok {
		return nil, errors.New("the inflater cannot be reset")
	}
	defer d.pool.inflaters.Put(r)
	in := bytes.NewReader(data)
	if err := r.Reset(in, d.history.dictionary()); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(r, int64(d.maxContentSize)+1))
	if err != nil {
		return nil, err
	}
	if len(content) <= d.maxContentSize && in.Len() > 0 {
		return nil, fmt.Errorf("%d bytes follow the content", in.Len())
	}
	return content, nil
}
