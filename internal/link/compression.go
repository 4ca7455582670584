package link

import (
	"github.com/coder/websocket"

	"tarragongauge.example/tarragongauge/internal/defl"
	"tarragongauge.example/tarragongauge/internal/wire"
)

// compression compresses the frames that a link sends and decompresses those that
// it receives. A nil compression returns frames unchanged. The compressor is used
// by the writing task of the link only, the decompressor by the reading task only.
type compression struct {
	compressor   *defl.Compressor
	decompressor *defl.Decompressor
}

// newCompression returns the compression of a connection, or nil unless both sides
// asked for compression.
func newCompression(ws *websocket.Conn, pool *defl.Pool) *compression {
	if ws.Subprotocol() != compressionSubprotocol {
		return nil
	}
	return &compression{compressor: defl.NewCompressor(pool), decompressor: defl.NewDecompressor(pool, wire.MaxFrame)}
}

// compress returns the frame to send. It is valid until the next call.
func (p *compression) compress(frame []byte) ([]byte, error) {
	if p == nil {
		return frame, nil
	}
	return p.compressor.Compress(frame)
}

// decompress returns the content of a received frame.
func (p *compression) decompress(frame []byte) ([]byte, error) {
	if p == nil {
		return frame, nil
	}
	return p.decompressor.Decompress(frame)
}
