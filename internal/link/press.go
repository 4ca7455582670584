package link

import (
	"github.com/coder/websocket"

	"tarragongauge.example/tarragongauge/internal/defl"
	"tarragongauge.example/tarragongauge/internal/wire"
)

// press compresses the frames of one link in both directions. A nil press leaves
// them as they are. The writer and the reader of the link use one side each.
type press struct {
	out *defl.Compressor
	in  *defl.Decompressor
}

// newPress returns the press of a connection, or nil unless both sides asked for compression.
func newPress(ws *websocket.Conn, pool *defl.Pool) *press {
	if ws.Subprotocol() != compressed {
		return nil
	}
	return &press{out: defl.NewCompressor(pool), in: defl.NewDecompressor(pool, wire.MaxFrame)}
}

func (p *press) pack(frame []byte) ([]byte, error) {
	if p == nil {
		return frame, nil
	}
	return p.out.Compress(frame)
}

func (p *press) unpack(frame []byte) ([]byte, error) {
	if p == nil {
		return frame, nil
	}
	return p.in.Decompress(frame)
}
