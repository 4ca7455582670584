package gate

import (
	"context"
	"io"
	"net"
	"time"
)

// tlsRecordHandshake is the first byte of every TLS connection: the content type
// of a handshake record. No HTTP method begins with this byte.
const tlsRecordHandshake = 0x16

// peekedConn is a connection whose first byte was read ahead.
type peekedConn struct {
	net.Conn
	// unread holds the byte until Read returns it.
	unread []byte
}

// peek reads the first byte of a connection and reports whether it begins a TLS handshake.
func peek(ctx context.Context, conn net.Conn) (net.Conn, bool, error) {
	// A deadline in the past ends the read when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	first := make([]byte, 1)
	_, err := io.ReadFull(conn, first)
	if !stop() {
		return nil, false, ctx.Err()
	}
	if err != nil {
		return nil, false, err
	}
	return &peekedConn{Conn: conn, unread: first}, first[0] == tlsRecordHandshake, nil
}

// Read returns the byte that was read ahead, then what follows.
func (c *peekedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 || len(p) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}
